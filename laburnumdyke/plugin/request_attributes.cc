// The service and target come from the path, the rest from headers. A missing
// header defaults to the service's declaration. A caller can lower the rank of
// its request but not raise it above that of the service, and can shorten the
// deadline but not extend it.
#include "laburnumdyke/plugin/request_attributes.h"

#include <algorithm>
#include <charconv>

namespace laburnumdyke {

namespace {

request_parse_result
Malformed(std::string aMessage)
{
  return { std::nullopt, refusal_reason::MalformedRequest, aMessage };
}

bool
ParseMillis(std::string_view aText, std::chrono::milliseconds& aTarget)
{
  std::uint32_t count = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, count);
  aTarget = std::chrono::milliseconds(count);
  return parsed.ec == std::errc() && parsed.ptr == end && !aText.empty();
}

bool
SplitTarget(std::string_view aTarget, request_attributes& aAttributes)
{
  if (aTarget.substr(0, kRequestPath.size()) != kRequestPath) {
    return false;
  }
  aTarget.remove_prefix(kRequestPath.size());
  std::size_t end = std::min(aTarget.find_first_of("/?"), aTarget.size());
  aAttributes.mService.mValue = aTarget.substr(0, end);
  std::string_view rest = aTarget.substr(end);
  bool hasNoPath = rest.empty() || rest.front() != '/';
  aAttributes.mTarget = (hasNoPath ? "/" : "") + std::string(rest);
  return true;
}

std::optional<request_origin>
ParseOrigin(std::string_view aText)
{
  if (aText == "issuer") {
    return request_origin::IssuerRelay;
  }
  if (aText == "home") {
    return request_origin::HomeRelay;
  }
  return std::nullopt;
}

} // namespace

request_parse_result
ParseRequestHead(const http::request<http::buffer_body>& aHead,
                 const document& aDocument,
                 bool aFromPeer)
{
  request_attributes attributes;
  if (!SplitTarget(FromBeast(aHead.target()), attributes)) {
    return Malformed("expected a path of /v1/request/SERVICE/...");
  }
  auto service = aDocument.mServices.find(attributes.mService);
  if (service == aDocument.mServices.end()) {
    return { std::nullopt,
             refusal_reason::UnknownService,
             "no service \"" + attributes.mService.mValue + "\"" };
  }
  attributes.mRank = service->second.mRank;
  attributes.mIdempotent = service->second.mIdempotent;
  attributes.mTimeout = service->second.mDeadline;
  std::string_view rank = FromBeast(aHead[ToBeast(kRankHeader)]);
  if (!rank.empty()) {
    std::optional<work_rank> parsed = ParseRank(rank);
    if (!parsed) {
      return Malformed("expected Laburnumdyke-Rank of urgent, standard, bulk");
    }
    attributes.mRank = std::max(attributes.mRank, *parsed);
  }
  std::string_view deadline = FromBeast(aHead[ToBeast(kDeadlineHeader)]);
  if (!deadline.empty() && !ParseMillis(deadline, attributes.mTimeout)) {
    return Malformed("expected Laburnumdyke-Deadline-Ms in milliseconds");
  }
  attributes.mTimeout =
    std::min(attributes.mTimeout, service->second.mDeadline);
  std::string_view identity = FromBeast(aHead[ToBeast(kIdentityHeader)]);
  if (!identity.empty()) {
    attributes.mIdentity = ParseIdentity(identity);
    if (!attributes.mIdentity) {
      return Malformed("expected Laburnumdyke-Identity as it was issued");
    }
  }
  if (!aFromPeer) {
    return { attributes, refusal_reason::None, {} };
  }
  std::optional<request_origin> origin =
    ParseOrigin(FromBeast(aHead[ToBeast(kRelayHeader)]));
  bool stamped =
    ParseMillis(FromBeast(aHead[ToBeast(kStampHeader)]), attributes.mStamp);
  if (!origin || !stamped) {
    return Malformed("expected relay headers from an entry instance");
  }
  attributes.mOrigin = *origin;
  attributes.mRelayingRegion.mValue = FromBeast(aHead[ToBeast(kRegionHeader)]);
  return { attributes, refusal_reason::None, {} };
}

} // namespace laburnumdyke
