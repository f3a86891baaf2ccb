// Service and target come from the path, the rest from headers; what a header
// leaves open comes from the service's declaration. A caller can lower the
// rank of its request but not raise it above its service's.
#include "laburnumdyke/plugin/request_facts.h"

#include <algorithm>
#include <charconv>

namespace laburnumdyke {

namespace {

facts_result
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
SplitTarget(std::string_view aTarget, request_facts& aFacts)
{
  if (aTarget.substr(0, kRequestPath.size()) != kRequestPath) {
    return false;
  }
  aTarget.remove_prefix(kRequestPath.size());
  std::size_t end = std::min(aTarget.find_first_of("/?"), aTarget.size());
  aFacts.mService.mValue = aTarget.substr(0, end);
  std::string_view rest = aTarget.substr(end);
  bool bare = rest.empty() || rest.front() != '/';
  aFacts.mTarget = (bare ? "/" : "") + std::string(rest);
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

facts_result
ReadFacts(const http::request<http::buffer_body>& aHead,
          const document& aDocument,
          bool aFromPeer)
{
  request_facts facts;
  if (!SplitTarget(FromBeast(aHead.target()), facts)) {
    return Malformed("expected a path of /v1/request/SERVICE/...");
  }
  auto service = aDocument.mServices.find(facts.mService);
  if (service == aDocument.mServices.end()) {
    return { std::nullopt,
             refusal_reason::UnknownService,
             "no service \"" + facts.mService.mValue + "\"" };
  }
  facts.mRank = service->second.mRank;
  facts.mIdempotent = service->second.mIdempotent;
  facts.mAllowed = service->second.mDeadline;
  std::string_view rank = FromBeast(aHead[ToBeast(kRankHeader)]);
  if (!rank.empty()) {
    std::optional<work_rank> parsed = ParseRank(rank);
    if (!parsed) {
      return Malformed("expected Laburnumdyke-Rank of urgent, standard, bulk");
    }
    facts.mRank = std::max(facts.mRank, *parsed);
  }
  std::string_view deadline = FromBeast(aHead[ToBeast(kDeadlineHeader)]);
  if (!deadline.empty() && !ParseMillis(deadline, facts.mAllowed)) {
    return Malformed("expected Laburnumdyke-Deadline-Ms in milliseconds");
  }
  facts.mAllowed = std::min(facts.mAllowed, service->second.mDeadline);
  std::string_view identity = FromBeast(aHead[ToBeast(kIdentityHeader)]);
  if (!identity.empty()) {
    facts.mIdentity = ParseIdentity(identity);
    if (!facts.mIdentity) {
      return Malformed("expected Laburnumdyke-Identity as it was issued");
    }
  }
  if (!aFromPeer) {
    return { facts, refusal_reason::None, {} };
  }
  std::optional<request_origin> origin =
    ParseOrigin(FromBeast(aHead[ToBeast(kRelayHeader)]));
  bool stamped =
    ParseMillis(FromBeast(aHead[ToBeast(kStampHeader)]), facts.mStamp);
  if (!origin || !stamped) {
    return Malformed("expected relay headers from an entry instance");
  }
  facts.mOrigin = *origin;
  facts.mFromRegion.mValue = FromBeast(aHead[ToBeast(kRegionHeader)]);
  return { facts, refusal_reason::None, {} };
}

} // namespace laburnumdyke
