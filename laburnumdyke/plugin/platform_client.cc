// Answers are decoded in free functions, apart from the exchanges, so that each
// outcome is decided in one place for all callers.
#include "laburnumdyke/plugin/platform_client.h"

#include <boost/json.hpp>

#include <array>

namespace laburnumdyke {

namespace {

std::optional<row_snapshot>
ParseRow(const std::string& aBody)
{
  error_code failure;
  boost::json::value parsed = boost::json::parse(aBody, failure);
  if (failure || !parsed.is_object()) {
    return std::nullopt;
  }
  const boost::json::value* value = parsed.get_object().if_contains("value");
  const boost::json::value* revision =
    parsed.get_object().if_contains("revision");
  if (value == nullptr || !value->is_string() || revision == nullptr ||
      !revision->is_int64() || revision->get_int64() <= 0) {
    return std::nullopt;
  }
  return row_snapshot{ static_cast<std::uint64_t>(revision->get_int64()),
                       std::string(FromBeast(value->get_string())) };
}

// Returns nullopt if a field is missing or malformed.
std::optional<list_entry>
ParseListEntry(const boost::json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  std::array<std::string, 3> fields;
  constexpr std::array<std::string_view, 3> kKeys{ "name", "address", "state" };
  for (std::size_t i = 0; i < kKeys.size(); ++i) {
    const boost::json::value* field =
      aValue.get_object().if_contains(ToBeast(kKeys.at(i)));
    if (field == nullptr || !field->is_string()) {
      return std::nullopt;
    }
    fields.at(i) = FromBeast(field->get_string());
  }
  std::optional<endpoint> address = ParseEndpoint(fields.at(1));
  if (!address) {
    return std::nullopt;
  }
  return list_entry{ fields.at(0), *address, fields.at(2) == "leaving" };
}

} // namespace

std::optional<row_snapshot>
row_answer::Snapshot() const
{
  if (mStatus == row_status::Read || mStatus == row_status::Absent) {
    return mSnapshot;
  }
  return std::nullopt;
}

row_answer
ReadRowAnswer(const std::optional<client_answer>& aAnswer)
{
  if (aAnswer && aAnswer->mStatus == 404) {
    return { row_status::Absent, {} };
  }
  if (!aAnswer || aAnswer->mStatus != 200) {
    return { row_status::NoAnswer, {} };
  }
  std::optional<row_snapshot> reading = ParseRow(aAnswer->mBody);
  if (!reading) {
    return { row_status::Malformed, {} };
  }
  return { row_status::Read, std::move(*reading) };
}

write_answer
ReadWriteAnswer(const std::optional<client_answer>& aAnswer)
{
  if (aAnswer && aAnswer->mStatus == 200) {
    return write_answer::Written;
  }
  return aAnswer && aAnswer->mStatus == 412 ? write_answer::Mismatch
                                            : write_answer::NoAnswer;
}

// A malformed entry is skipped, so that it does not hide the others.
std::optional<std::vector<list_entry>>
ReadListAnswer(const std::optional<client_answer>& aAnswer)
{
  if (!aAnswer || aAnswer->mStatus != 200) {
    return std::nullopt;
  }
  error_code failure;
  boost::json::value parsed = boost::json::parse(aAnswer->mBody, failure);
  const boost::json::value* list =
    !failure && parsed.is_object()
      ? parsed.get_object().if_contains("instances")
      : nullptr;
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<list_entry> entries;
  for (const boost::json::value& value : list->get_array()) {
    std::optional<list_entry> entry = ParseListEntry(value);
    if (entry) {
      entries.push_back(std::move(*entry));
    }
  }
  return entries;
}

std::string
InstanceBody(const endpoint& aAddress, std::string_view aState)
{
  boost::json::object body;
  body["address"] = aAddress.Text();
  body["state"] = aState;
  return boost::json::serialize(body);
}

} // namespace laburnumdyke
