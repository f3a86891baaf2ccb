// Measures the block table at the users' later size: memory, look-ups a
// second and the time of one update; and whole placements a second with 24
// entry instances in six domains. Usage: placement_bench [BLOCKS [SEED]]
//
// Memory is counted at operator new, so that growth, slack and the allocator's
// view of what an update holds are all included.
#include "laburnumdyke/decision/placement.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <random>
#include <set>

namespace {

std::size_t gHeld = 0;
std::size_t gPeak = 0;

// Not inlined: the compiler would take the pair for mismatched.
[[gnu::noinline]] void*
Allocate(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  gHeld += malloc_usable_size(memory);
  gPeak = std::max(gPeak, gHeld);
  return memory;
}

[[gnu::noinline]] void
Free(void* aMemory)
{
  gHeld -= malloc_usable_size(aMemory);
  std::free(aMemory);
}

} // namespace

void*
operator new(std::size_t aSize)
{
  return Allocate(aSize);
}

void
operator delete(void* aMemory) noexcept
{
  Free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  Free(aMemory);
}

using namespace laburnumdyke;

namespace {

constexpr std::size_t kDomains = 54;
constexpr std::size_t kLookups = 4000000;
constexpr std::size_t kUpdates = 2000;
constexpr std::size_t kPlacements = 100000;
constexpr std::size_t kEntries = 24;
constexpr std::size_t kEntryDomains = 6;
constexpr double kMegabyte = 1e6;

// Half IPv4, mostly /24 with /16 to /32 beside; half IPv6 from /29 to /64.
client_prefix
RandomPrefix(std::mt19937_64& aRandom)
{
  client_prefix prefix;
  bool isV4 = aRandom() % 2 == 0;
  unsigned length = 0;
  if (isV4) {
    prefix.mAddress.at(10) = 0xff;
    prefix.mAddress.at(11) = 0xff;
    length = 96 + (aRandom() % 10 < 6 ? 24 : 16 + aRandom() % 17);
  } else {
    length = aRandom() % 10 < 6 ? 48 : 29 + aRandom() % 36;
    prefix.mAddress.at(0) = 0x20;
  }
  for (unsigned bit = isV4 ? 96 : 8; bit < length; ++bit) {
    unsigned mask = aRandom() % 2 == 0 ? 0x80u >> (bit % 8) : 0u;
    prefix.mAddress.at(bit / 8) |= static_cast<std::uint8_t>(mask);
  }
  prefix.mLength = static_cast<std::uint8_t>(length);
  return prefix;
}

block_map
RandomBlocks(std::size_t aCount, std::mt19937_64& aRandom)
{
  std::vector<client_prefix> prefixes;
  prefixes.reserve(aCount + aCount / 4);
  while (prefixes.size() < aCount) {
    while (prefixes.size() < aCount + aCount / 5) {
      prefixes.push_back(RandomPrefix(aRandom));
    }
    std::sort(prefixes.begin(), prefixes.end());
    prefixes.erase(std::unique(prefixes.begin(), prefixes.end()),
                   prefixes.end());
  }
  prefixes.resize(aCount);
  block_map blocks;
  for (const client_prefix& prefix : prefixes) {
    blocks[{ "domain-" + std::to_string(aRandom() % kDomains) }]
      .Edit()
      .push_back(prefix);
  }
  return blocks;
}

double
SecondsSince(instant aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aStart)
    .count();
}

std::vector<address_bytes>
Questions(const block_map& aBlocks, std::mt19937_64& aRandom)
{
  std::vector<const block_list*> lists;
  for (const block_map::value_type& domain : aBlocks) {
    lists.push_back(&domain.second);
  }
  std::vector<address_bytes> questions;
  questions.reserve(kLookups / 4);
  while (questions.size() < kLookups / 4) {
    const block_list::container& list =
      lists.at(aRandom() % lists.size())->Items();
    address_bytes address = list.at(aRandom() % list.size()).mAddress;
    address.at(15) |= static_cast<std::uint8_t>(aRandom());
    questions.push_back(address);
  }
  return questions;
}

void
MeasureLookups(const block_table& aTable,
               const std::vector<address_bytes>& aQuestions)
{
  instant start = std::chrono::steady_clock::now();
  std::size_t matched = 0;
  for (std::size_t i = 0; i < kLookups; ++i) {
    matched += aTable.FindDomainIndex(aQuestions[i % aQuestions.size()]) !=
               kNoDomainIndex;
  }
  std::printf("lookups_per_second=%.0f matched=%zu of=%zu\n",
              static_cast<double>(kLookups) / SecondsSince(start),
              matched,
              kLookups);
}

member
Member(std::size_t aNumber)
{
  member made;
  made.mInstance.mValue = "entry-" + std::to_string(aNumber);
  made.mDomain.mValue = "domain-" + std::to_string(aNumber % kEntryDomains);
  made.mRegion.mValue = "region-" + std::to_string(aNumber % kEntryDomains / 2);
  return made;
}

void
MeasurePlacements(const block_table& aTable,
                  const std::vector<address_bytes>& aQuestions)
{
  const service_id service{ "service" };
  instant now = std::chrono::steady_clock::now();
  document document;
  document.mServices[service].mRank = work_rank::Standard;
  std::vector<peer> peers;
  for (std::size_t i = 1; i < kEntries; ++i) {
    peer one;
    one.mLast.mSender = Member(i);
    one.mLast.mVersion = 1;
    one.mLast.mCredits = { { service, 6, 3 } };
    one.mHeard = now;
    peers.push_back(one);
    document.mRegions[one.mLast.mSender.mRegion].mCap = 100;
    document.mDomains[one.mLast.mSender.mDomain].mRegion =
      one.mLast.mSender.mRegion;
  }
  member self = Member(0);
  traffic_shifts shifts;
  shifts.Observe(document, LiveRegions(self, peers), now);
  placement_view view{ document, aTable, self, peers };
  std::size_t choices = 0;
  instant start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kPlacements; ++i) {
    report_rooms rooms(view, { { service, 6, 3 } }, now);
    placement_answer answer = PlaceClient(view,
                                          service,
                                          aQuestions[i % aQuestions.size()],
                                          rooms,
                                          shifts,
                                          now,
                                          std::chrono::system_clock::now());
    choices += answer.mChoices.size();
  }
  std::printf("placements_per_second=%.0f choices=%zu of=%zu\n",
              static_cast<double>(kPlacements) / SecondsSince(start),
              choices,
              kPlacements);
}

void
MeasureUpdates(block_table aTable, std::mt19937_64& aRandom)
{
  std::size_t before = gHeld;
  gPeak = gHeld;
  double longest = 0;
  instant start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kUpdates; ++i) {
    instant one = std::chrono::steady_clock::now();
    std::vector<block_change> changes{
      { RandomPrefix(aRandom),
        domain_id{ "domain-" + std::to_string(aRandom() % kDomains) } }
    };
    block_table next = aTable.With(changes);
    aTable = std::move(next);
    longest = std::max(longest, SecondsSince(one));
  }
  std::printf("update_mean_us=%.0f update_longest_us=%.0f "
              "update_extra_peak_MB=%.2f\n",
              SecondsSince(start) / kUpdates * 1e6,
              longest * 1e6,
              static_cast<double>(gPeak - before) / kMegabyte);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::size_t blocks =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1900000;
  std::uint64_t seed =
    aCount > 2 ? std::strtoull(aArguments[2], nullptr, 10) : 1;
  std::mt19937_64 random(seed);
  block_map map = RandomBlocks(blocks, random);
  std::vector<address_bytes> questions = Questions(map, random);
  std::size_t before = gHeld;
  gPeak = gHeld;
  instant start = std::chrono::steady_clock::now();
  block_table table = block_table::Build(map);
  double seconds = SecondsSince(start);
  std::printf("blocks=%zu sites=%zu build_s=%.2f table_MB=%.1f "
              "build_peak_MB=%.1f\n",
              table.Size(),
              map.size(),
              seconds,
              static_cast<double>(gHeld - before) / kMegabyte,
              static_cast<double>(gPeak - before) / kMegabyte);
  MeasureLookups(table, questions);
  MeasurePlacements(table, questions);
  MeasureUpdates(std::move(table), random);
  return 0;
}
