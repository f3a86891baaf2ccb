// Parses the header of a request into its attributes.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/identity_ledger.h"
#include "laburnumdyke/plugin/http_types.h"

#include <optional>
#include <string>

namespace laburnumdyke {

// How a request reached this entry instance.
enum class request_origin
{
  Caller,
  IssuerRelay, // relayed because this instance issued its identity
  HomeRelay,   // relayed because this instance has free slots for it
};

struct request_attributes
{
  service_id mService;
  std::string mTarget; // path and query for the upstream
  work_rank mRank = work_rank::Standard;
  bool mIdempotent = true;
  // From the receipt of the header until the deadline.
  std::chrono::milliseconds mTimeout{ 0 };
  std::optional<request_identity> mIdentity;
  request_origin mOrigin = request_origin::Caller;
  // Of the advertisement that the relay is based on.
  std::chrono::milliseconds mStamp{ 0 };
  region_id mRelayingRegion; // of the relaying instance; empty: not stated
};

struct request_parse_result
{
  std::optional<request_attributes> mAttributes;
  refusal_reason mReason = refusal_reason::None; // if mAttributes is empty
  std::string mMessage;
};

inline constexpr std::string_view kRequestPath = "/v1/request/";
// Between entry instances: the region that the answer's body goes to.
inline constexpr std::string_view kRegionHeader = "Laburnumdyke-Region";

// aFromPeer: the request arrived at the relay address. Relay headers are
// required there and ignored elsewhere. A malformed header or an unknown
// service gives a refusal reason and a message for the caller.
request_parse_result
ParseRequestHead(const http::request<http::buffer_body>& aHead,
                 const document& aDocument,
                 bool aFromPeer);

} // namespace laburnumdyke
