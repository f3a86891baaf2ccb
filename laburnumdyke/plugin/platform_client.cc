// Answers are read apart from the exchanges, so that each outcome is decided in
// one place, whoever asked.
#include "laburnumdyke/plugin/platform_client.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

std::optional<row_reading>
ParseReading(const std::string& aBody)
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
  return row_reading{ static_cast<std::uint64_t>(revision->get_int64()),
                      std::string(FromBeast(value->get_string())) };
}

} // namespace

std::optional<row_reading>
row_answer::Reading() const
{
  if (mStatus == row_status::Read || mStatus == row_status::Absent) {
    return mReading;
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
  std::optional<row_reading> reading = ParseReading(aAnswer->mBody);
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

std::string
InstanceBody(const endpoint& aAddress, std::string_view aState)
{
  boost::json::object body;
  body["address"] = aAddress.Text();
  body["state"] = aState;
  return boost::json::serialize(body);
}

} // namespace laburnumdyke
