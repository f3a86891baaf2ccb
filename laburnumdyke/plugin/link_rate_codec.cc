// Every field is required and checked, as in a heartbeat: a message that is
// not whole has no effect.
#include "laburnumdyke/plugin/link_rate_codec.h"

#include "laburnumdyke/kernel/settings.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

namespace json = boost::json;

std::optional<json::object>
ParseObject(std::string_view aText)
{
  boost::system::error_code failure;
  json::value parsed = json::parse({ aText.data(), aText.size() }, failure);
  if (failure || !parsed.is_object()) {
    return std::nullopt;
  }
  return parsed.get_object();
}

bool
TakeName(const json::object& aObject, const char* aKey, std::string& aTarget)
{
  const json::value* found = aObject.if_contains(aKey);
  if (found == nullptr || !found->is_string()) {
    return false;
  }
  aTarget = std::string(found->get_string());
  return IsName(aTarget);
}

bool
TakeCount(const json::object& aObject,
          const char* aKey,
          std::uint64_t aMost,
          std::uint64_t& aTarget)
{
  const json::value* found = aObject.if_contains(aKey);
  if (found == nullptr || !found->is_int64() || found->get_int64() < 0) {
    return false;
  }
  aTarget = static_cast<std::uint64_t>(found->get_int64());
  return aTarget <= aMost;
}

} // namespace

std::string
EncodeRateQuestion(const rate_question& aQuestion)
{
  json::object message;
  message["from"] = aQuestion.mDirection.mFrom.mValue;
  message["to"] = aQuestion.mDirection.mTo.mValue;
  message["instance"] = aQuestion.mInstance.mValue;
  message["demand"] = std::min(aQuestion.mAsk.mDemand, kMostRate);
  return json::serialize(message);
}

std::string
EncodeRateGrant(const rate_grant& aGrant)
{
  json::object message;
  message["rate"] = aGrant.mRate;
  message["life_ms"] = aGrant.mLife.count();
  return json::serialize(message);
}

std::optional<rate_question>
DecodeRateQuestion(std::string_view aText)
{
  std::optional<json::object> message = ParseObject(aText);
  rate_question question;
  bool isWhole =
    message && TakeName(*message, "from", question.mDirection.mFrom.mValue) &&
    TakeName(*message, "to", question.mDirection.mTo.mValue) &&
    TakeName(*message, "instance", question.mInstance.mValue) &&
    TakeCount(*message, "demand", kMostRate, question.mAsk.mDemand);
  return isWhole ? std::optional(question) : std::nullopt;
}

// A grant never outlives the life that the lender counts on.
std::optional<rate_grant>
DecodeRateGrant(std::string_view aText)
{
  std::optional<json::object> message = ParseObject(aText);
  rate_grant grant;
  std::uint64_t life = 0;
  bool isWhole = message &&
                 TakeCount(*message, "rate", kMostRate, grant.mRate) &&
                 TakeCount(*message,
                           "life_ms",
                           static_cast<std::uint64_t>(kGrantLifetime.count()),
                           life);
  grant.mLife = std::chrono::milliseconds(static_cast<std::int64_t>(life));
  return isWhole ? std::optional(grant) : std::nullopt;
}

} // namespace laburnumdyke
