// Every field is required and validated. As with heartbeats, one missing or
// invalid field rejects the entire message.
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
DecodeName(const json::object& aObject, const char* aKey, std::string& aTarget)
{
  const json::value* found = aObject.if_contains(aKey);
  if (found == nullptr || !found->is_string()) {
    return false;
  }
  aTarget = std::string(found->get_string());
  return IsName(aTarget);
}

bool
DecodeInteger(const json::object& aObject,
              const char* aKey,
              std::uint64_t aMax,
              std::uint64_t& aTarget)
{
  const json::value* found = aObject.if_contains(aKey);
  if (found == nullptr || !found->is_int64() || found->get_int64() < 0) {
    return false;
  }
  aTarget = static_cast<std::uint64_t>(found->get_int64());
  return aTarget <= aMax;
}

} // namespace

std::string
EncodeRateRequest(const rate_request& aRequest)
{
  json::object message;
  message["from"] = aRequest.mDirection.mFrom.mValue;
  message["to"] = aRequest.mDirection.mTo.mValue;
  message["instance"] = aRequest.mInstance.mValue;
  message["demand"] = std::min(aRequest.mRateDemand.mDemand, kMaxRate);
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

std::optional<rate_request>
DecodeRateRequest(std::string_view aText)
{
  std::optional<json::object> message = ParseObject(aText);
  rate_request request;
  bool isValid =
    message && DecodeName(*message, "from", request.mDirection.mFrom.mValue) &&
    DecodeName(*message, "to", request.mDirection.mTo.mValue) &&
    DecodeName(*message, "instance", request.mInstance.mValue) &&
    DecodeInteger(*message, "demand", kMaxRate, request.mRateDemand.mDemand);
  return isValid ? std::optional(request) : std::nullopt;
}

// Rejects a lifetime above kGrantLifetime, which is how long the lender
// reserves the granted rate.
std::optional<rate_grant>
DecodeRateGrant(std::string_view aText)
{
  std::optional<json::object> message = ParseObject(aText);
  rate_grant grant;
  std::uint64_t lifetime = 0;
  bool isValid =
    message && DecodeInteger(*message, "rate", kMaxRate, grant.mRate) &&
    DecodeInteger(*message,
                  "life_ms",
                  static_cast<std::uint64_t>(kGrantLifetime.count()),
                  lifetime);
  grant.mLife = std::chrono::milliseconds(static_cast<std::int64_t>(lifetime));
  return isValid ? std::optional(grant) : std::nullopt;
}

} // namespace laburnumdyke
