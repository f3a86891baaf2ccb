// The small deployment of the randomised run: three failure domains in two
// regions, each with its own entry instances and upstreams of three services.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/membership.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kSoakDomains = 3;
inline constexpr std::size_t kSoakEntriesPerDomain = 3;
inline constexpr std::size_t kSoakEntries =
  kSoakDomains * kSoakEntriesPerDomain;
inline constexpr std::size_t kSoakServices = 3;
inline constexpr std::size_t kSoakUpstreamsPerService = 2; // in each domain
inline constexpr std::size_t kSoakUpstreams =
  kSoakDomains * kSoakServices * kSoakUpstreamsPerService;
inline constexpr std::uint32_t kSoakSlots = 3;

struct soak_service
{
  service_id mService;
  work_rank mRank = work_rank::Standard;
  bool mIdempotent = true;
  std::chrono::milliseconds mDeadline{ 0 };
};

const std::vector<soak_service>&
SoakServices();

// The first version of the document.
std::string
SoakDocument();

std::size_t
DomainOfEntry(std::size_t aEntry);
std::size_t
DomainOfUpstream(std::size_t aUpstream);

// aIncarnation distinguishes processes at one address.
member
SoakMember(std::size_t aEntry, std::uint64_t aIncarnation);

upstream_id
SoakUpstream(std::size_t aUpstream);

std::optional<std::size_t>
UpstreamIndex(const upstream_id& aUpstream);
std::optional<std::size_t>
EntryIndex(const instance_id& aInstance);
std::optional<std::size_t>
EntryAt(const endpoint& aPeerOrRelay);

// A client address in the blocks of a domain.
address_bytes
SoakClient(std::size_t aDomain);

} // namespace laburnumdyke
