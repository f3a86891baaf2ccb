// Parameters are percent-encoded except for letters and digits.
#include "ctl/route_query.h"

#include "laburnumdyke/plugin/http_types.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMaxQueryText = 2048; // bytes; an instance accepts more
// The rest of the header of a short question.
constexpr std::size_t kOtherHeaderBytes = 1024;
constexpr std::size_t kMaxKeyBytes = kHeaderLimit - kOtherHeaderBytes;

bool
IsControl(char aByte)
{
  return static_cast<unsigned char>(aByte) < ' ' || aByte == '\x7f';
}

bool
IsPlain(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9');
}

void
AddParameter(std::string& aTarget,
             std::string_view aName,
             std::string_view aValue)
{
  if (aValue.empty()) {
    return;
  }
  aTarget += aTarget.find('?') == std::string::npos ? '?' : '&';
  aTarget += aName;
  aTarget += '=';
  for (char byte : aValue) {
    if (IsPlain(byte)) {
      aTarget += byte;
    } else {
      std::array<char, 4> text{};
      std::snprintf(
        text.data(), text.size(), "%%%02X", static_cast<unsigned char>(byte));
      aTarget += text.data();
    }
  }
}

} // namespace

bool
IsQueryText(std::string_view aText)
{
  return aText.size() <= kMaxQueryText &&
         std::none_of(aText.begin(), aText.end(), IsControl);
}

std::string
RouteTarget(const ctl_options& aOptions)
{
  std::string target = "/v1/explain";
  AddParameter(target, "host", aOptions.mHost);
  AddParameter(target, "path", aOptions.mPath);
  AddParameter(target, "object", aOptions.mObject);
  AddParameter(target, "customer", aOptions.mCustomer);
  if (aOptions.mDeadline) {
    AddParameter(
      target, "deadline_ms", std::to_string(aOptions.mDeadline->count()));
  }
  return target;
}

key_result
ReadKeyFile(const std::string& aName)
{
  std::ifstream file;
  if (aName != "-") {
    file.open(aName, std::ios::binary);
  }
  std::istream& from = aName == "-" ? std::cin : file;
  std::string key;
  char byte = 0;
  while (key.size() <= kMaxKeyBytes && from.get(byte) && byte != '\n') {
    key += byte;
  }
  if (!key.empty() && key.back() == '\r') {
    key.pop_back();
  }
  if (key.empty()) {
    return { std::nullopt, "can't be read, or its first line is empty" };
  }
  if (key.size() > kMaxKeyBytes ||
      std::any_of(key.begin(), key.end(), IsControl)) {
    return { std::nullopt, "the first line is too long for a key or not text" };
  }
  return { std::move(key), std::string() };
}

exit_status
RouteStatus(unsigned aStatus)
{
  if (aStatus == 200) {
    return exit_status::Ok;
  }
  // An instance that answers 429 can be asked again later.
  bool isRefused = aStatus >= 400 && aStatus < 500 && aStatus != 429;
  return isRefused ? exit_status::Refused : exit_status::Unavailable;
}

} // namespace laburnumdyke
