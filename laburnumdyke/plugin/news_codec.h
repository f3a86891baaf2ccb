// News of upstreams between instances of a failure domain, as protobuf.
//
// A follower asks on the relay address, and is answered when there is more
// than it knows:
//   GET /v1/news?after=VERSION
//   200 and the news; 503 where they are not to be had here
#pragma once

#include "laburnumdyke/decision/upstream_news.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

std::string
NewsTarget(std::uint64_t aAfter);

// The version that a question names; nothing where it is no such question.
std::optional<std::uint64_t>
ReadNewsTarget(std::string_view aTarget);

std::string
EncodeNews(const upstream_news& aNews);

// Nothing where the bytes are no news, or name an upstream without a name or
// an address: what follows them could not be relied on.
std::optional<upstream_news>
DecodeNews(std::string_view aBytes);

} // namespace laburnumdyke
