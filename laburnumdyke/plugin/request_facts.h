// What the header of a request says, as types.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/identity_ledger.h"
#include "laburnumdyke/plugin/http_types.h"

#include <optional>
#include <string>

namespace laburnumdyke {

// How a request came to this entry instance.
enum class request_origin
{
  Caller,
  IssuerRelay, // relayed because this instance issued its identity
  HomeRelay,   // relayed because this instance has slots for it
};

struct request_facts
{
  service_id mService;
  std::string mTarget; // path and query for the upstream
  work_rank mRank = work_rank::Standard;
  bool mIdempotent = true;
  std::chrono::milliseconds mAllowed{ 0 }; // until the deadline
  std::optional<request_identity> mIdentity;
  request_origin mOrigin = request_origin::Caller;
  std::chrono::milliseconds mStamp{ 0 }; // of the advert a relay relied on
  region_id mFromRegion; // of the relaying instance; empty: not told
};

struct facts_result
{
  std::optional<request_facts> mFacts;
  refusal_reason mReason = refusal_reason::None; // where there are no facts
  std::string mMessage;
};

inline constexpr std::string_view kRequestPath = "/v1/request/";
// Between entry instances: the region that the answer's body goes to.
inline constexpr std::string_view kRegionHeader = "Laburnumdyke-Region";

// aFromPeer: the request came to the relay address, where relay headers count.
facts_result
ReadFacts(const http::request<http::buffer_body>& aHead,
          const document& aDocument,
          bool aFromPeer);

} // namespace laburnumdyke
