// A linear search over the declared fields for each key: forms have fewer
// than ten fields.
#include "laburnumdyke/testing/standin/control_form.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace laburnumdyke {

namespace json = boost::json;

namespace {

std::optional<std::uint64_t>
WholeNumber(const json::value& aValue, std::uint64_t aMaximum)
{
  std::optional<std::uint64_t> number;
  if (aValue.is_int64() && aValue.get_int64() >= 0) {
    number = static_cast<std::uint64_t>(aValue.get_int64());
  } else if (aValue.is_uint64()) {
    number = aValue.get_uint64();
  }
  if (number && *number > aMaximum) {
    number.reset();
  }
  return number;
}

} // namespace

void
control_form::Flag(std::string_view aName, bool& aTarget)
{
  mFields.push_back({ aName, 1, &aTarget });
}

void
control_form::Number(std::string_view aName,
                     std::uint64_t aMaximum,
                     std::uint64_t& aTarget)
{
  mFields.push_back({ aName, aMaximum, &aTarget });
}

void
control_form::Time(std::string_view aName,
                   std::chrono::milliseconds aMaximum,
                   std::chrono::milliseconds& aTarget)
{
  mFields.push_back(
    { aName, static_cast<std::uint64_t>(aMaximum.count()), &aTarget });
}

std::optional<std::string>
control_form::Read(std::string_view aBody) const
{
  boost::system::error_code failure;
  json::value parsed = json::parse({ aBody.data(), aBody.size() }, failure);
  if (failure || !parsed.is_object()) {
    return "expected a JSON object";
  }
  for (const json::key_value_pair& pair : parsed.get_object()) {
    std::string name(pair.key().data(), pair.key().size());
    auto found = std::find_if(
      mFields.begin(), mFields.end(), [&name](const field& aField) {
        return aField.mName == name;
      });
    if (found == mFields.end()) {
      return "unknown key \"" + name + "\"";
    }
    if (bool* const* flag = std::get_if<bool*>(&found->mTarget)) {
      if (!pair.value().is_bool()) {
        return "\"" + name + "\": expected true or false";
      }
      **flag = pair.value().get_bool();
      continue;
    }
    std::optional<std::uint64_t> number =
      WholeNumber(pair.value(), found->mMaximum);
    if (!number) {
      return "\"" + name + "\": expected a whole number up to " +
             std::to_string(found->mMaximum);
    }
    if (std::uint64_t* const* count =
          std::get_if<std::uint64_t*>(&found->mTarget)) {
      **count = *number;
    } else {
      *std::get<std::chrono::milliseconds*>(found->mTarget) =
        std::chrono::milliseconds(*number);
    }
  }
  return std::nullopt;
}

} // namespace laburnumdyke
