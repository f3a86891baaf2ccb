// Prefixes are stored in sorted chunks, as parallel arrays of bits, lengths,
// domain indexes and parents. A parent is the longest shorter prefix in the
// same chunk that contains the prefix. For each chunk the directory stores its
// covering prefix: the longest prefix of an earlier chunk that contains the
// chunk's first prefix.
//
// Because prefixes nest, the longest match for an address is either the last
// prefix that sorts at or before the address, or one of its ancestors. A lookup
// is therefore a binary search in the directory, one in the chunk, and a walk
// along parents and covering prefixes.
//
// Chosen over one hash table per prefix length; docs/DESIGN.md has the
// measurements.
#include "laburnumdyke/decision/block_table.h"

#include "laburnumdyke/kernel/invariant.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

namespace laburnumdyke {

namespace {

constexpr std::size_t kTargetChunkEntries =
  1024; // entries after a build or split
constexpr std::size_t kMaxChunkEntries = 2 * kTargetChunkEntries;
constexpr std::uint16_t kNoParent = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint32_t kNoChunk = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint8_t kMappedBits = 96;
constexpr std::uint8_t kMaxShortV6Length = 64;

bool
IsMapped(const address_bytes& aAddress)
{
  static constexpr address_bytes kMapped = { 0, 0, 0, 0, 0,    0,
                                             0, 0, 0, 0, 0xff, 0xff };
  return std::equal(
    kMapped.begin(), kMapped.begin() + kMappedBits / 8, aAddress.begin());
}

template<prefix_bits Bits>
Bits
ReadBits(const address_bytes& aAddress, std::size_t aFirstByte)
{
  Bits bits = 0;
  for (std::size_t i = 0; i < sizeof(Bits); ++i) {
    bits = (bits << 8) | aAddress.at(aFirstByte + i);
  }
  return bits;
}

template<class Entry>
bool
IsBefore(const Entry& aLeft, const Entry& aRight)
{
  return std::tie(aLeft.mBits, aLeft.mLength) <
         std::tie(aRight.mBits, aRight.mLength);
}

template<class Entry>
bool
IsSamePrefix(const Entry& aLeft, const Entry& aRight)
{
  return aLeft.mBits == aRight.mBits && aLeft.mLength == aRight.mLength;
}

} // namespace

template<prefix_bits Bits>
struct prefix_chunks<Bits>::chunk
{
  std::vector<Bits> mBits;
  std::vector<domain_index> mDomains;
  std::vector<std::uint16_t> mParents;
  std::vector<std::uint8_t> mLengths;

  std::size_t Size() const { return mBits.size(); }

  entry At(std::size_t aIndex) const
  {
    return { mBits[aIndex], mDomains[aIndex], mLengths[aIndex] };
  }
};

template<prefix_bits Bits>
struct prefix_chunks<Bits>::directory
{
  // Longest prefix of an earlier chunk that contains a chunk's first prefix.
  struct covering_prefix
  {
    std::uint32_t mChunk = kNoChunk;
    std::uint16_t mIndex = 0;
  };

  std::vector<Bits> mFirstBits;
  std::vector<std::shared_ptr<const chunk>> mChunks;
  std::vector<covering_prefix> mCoveringPrefixes;
};

template<prefix_bits Bits>
bool
prefix_chunks<Bits>::Contains(Bits aBits, std::uint8_t aLength, Bits aAddress)
{
  constexpr std::size_t kWidth = sizeof(Bits) * 8;
  return aLength == 0 || ((aBits ^ aAddress) >> (kWidth - aLength)) == 0;
}

template<prefix_bits Bits>
std::shared_ptr<const typename prefix_chunks<Bits>::chunk>
prefix_chunks<Bits>::MakeChunk(std::span<const entry> aSorted)
{
  std::shared_ptr<chunk> made = std::make_shared<chunk>();
  made->mBits.reserve(aSorted.size());
  made->mDomains.reserve(aSorted.size());
  made->mParents.reserve(aSorted.size());
  made->mLengths.reserve(aSorted.size());
  for (const entry& one : aSorted) {
    std::uint16_t parent = made->mBits.empty()
                             ? kNoParent
                             : static_cast<std::uint16_t>(made->Size() - 1);
    while (parent != kNoParent &&
           !Contains(made->mBits[parent], made->mLengths[parent], one.mBits)) {
      parent = made->mParents[parent];
    }
    made->mBits.push_back(one.mBits);
    made->mDomains.push_back(one.mDomainIndex);
    made->mParents.push_back(parent);
    made->mLengths.push_back(one.mLength);
  }
  return made;
}

// Prefixes with equal bits stay in one chunk, because the directory is searched
// by bits alone and must lead to the longest of them.
template<prefix_bits Bits>
void
prefix_chunks<Bits>::AppendChunks(std::span<const entry> aSorted,
                                  directory& aDirectory)
{
  std::size_t limit =
    aSorted.size() <= kMaxChunkEntries ? kMaxChunkEntries : kTargetChunkEntries;
  while (!aSorted.empty()) {
    std::size_t count = std::min(limit, aSorted.size());
    while (count < aSorted.size() &&
           aSorted[count].mBits == aSorted[count - 1].mBits) {
      ++count;
    }
    aDirectory.mFirstBits.push_back(aSorted.front().mBits);
    aDirectory.mChunks.push_back(MakeChunk(aSorted.first(count)));
    aSorted = aSorted.subspan(count);
  }
}

// A prefix that extends beyond its chunk contains the chunk's last prefix, so
// walking up from the last prefix visits every candidate. Takes
// O(chunks * nesting depth).
template<prefix_bits Bits>
void
prefix_chunks<Bits>::SetCoveringPrefixes(directory& aDirectory)
{
  aDirectory.mCoveringPrefixes.assign(aDirectory.mChunks.size(), {});
  for (std::size_t i = 1; i < aDirectory.mChunks.size(); ++i) {
    typename directory::covering_prefix at{
      static_cast<std::uint32_t>(i - 1),
      static_cast<std::uint16_t>(aDirectory.mChunks[i - 1]->Size() - 1)
    };
    while (at.mChunk != kNoChunk) {
      const chunk& current = *aDirectory.mChunks[at.mChunk];
      if (Contains(current.mBits[at.mIndex],
                   current.mLengths[at.mIndex],
                   aDirectory.mFirstBits[i])) {
        break;
      }
      std::uint16_t parent = current.mParents[at.mIndex];
      if (parent == kNoParent) {
        at = aDirectory.mCoveringPrefixes[at.mChunk];
      } else {
        at.mIndex = parent;
      }
    }
    aDirectory.mCoveringPrefixes[i] = at;
  }
}

template<prefix_bits Bits>
prefix_chunks<Bits>
prefix_chunks<Bits>::Build(std::span<const entry> aSorted)
{
  std::shared_ptr<directory> made = std::make_shared<directory>();
  while (!aSorted.empty()) {
    std::size_t count = std::min(kTargetChunkEntries, aSorted.size());
    while (count < aSorted.size() &&
           aSorted[count].mBits == aSorted[count - 1].mBits) {
      ++count;
    }
    AppendChunks(aSorted.first(count), *made);
    aSorted = aSorted.subspan(count);
  }
  SetCoveringPrefixes(*made);
  prefix_chunks built;
  built.mDirectory = std::move(made);
  return built;
}

template<prefix_bits Bits>
std::optional<typename prefix_chunks<Bits>::match>
prefix_chunks<Bits>::Find(Bits aAddress) const
{
  if (!mDirectory) {
    return std::nullopt;
  }
  const directory& all = *mDirectory;
  auto after =
    std::upper_bound(all.mFirstBits.begin(), all.mFirstBits.end(), aAddress);
  if (after == all.mFirstBits.begin()) {
    return std::nullopt;
  }
  typename directory::covering_prefix at{
    static_cast<std::uint32_t>(after - all.mFirstBits.begin() - 1), 0
  };
  const std::vector<Bits>& bits = all.mChunks[at.mChunk]->mBits;
  auto next = std::upper_bound(bits.begin(), bits.end(), aAddress);
  at.mIndex = static_cast<std::uint16_t>(next - bits.begin() - 1);
  while (at.mChunk != kNoChunk) {
    const chunk& current = *all.mChunks[at.mChunk];
    std::uint8_t length = current.mLengths[at.mIndex];
    if (Contains(current.mBits[at.mIndex], length, aAddress)) {
      return match{ current.mDomains[at.mIndex], length };
    }
    std::uint16_t parent = current.mParents[at.mIndex];
    if (parent == kNoParent) {
      at = all.mCoveringPrefixes[at.mChunk];
    } else {
      at.mIndex = parent;
    }
  }
  return std::nullopt;
}

template<prefix_bits Bits>
std::vector<typename prefix_chunks<Bits>::entry>
prefix_chunks<Bits>::Merge(const chunk& aChunk, std::span<const entry> aChanges)
{
  std::vector<entry> merged;
  merged.reserve(aChunk.Size() + aChanges.size());
  std::size_t next = 0;
  for (std::size_t i = 0; i < aChanges.size(); ++i) {
    const entry& change = aChanges[i];
    while (next < aChunk.Size() && IsBefore(aChunk.At(next), change)) {
      merged.push_back(aChunk.At(next++));
    }
    if (next < aChunk.Size() && IsSamePrefix(aChunk.At(next), change)) {
      ++next;
    }
    bool repeated =
      i + 1 < aChanges.size() && IsSamePrefix(change, aChanges[i + 1]);
    if (change.mDomainIndex != kNoDomainIndex && !repeated) {
      merged.push_back(change);
    }
  }
  while (next < aChunk.Size()) {
    merged.push_back(aChunk.At(next++));
  }
  return merged;
}

template<prefix_bits Bits>
prefix_chunks<Bits>
prefix_chunks<Bits>::With(std::span<const entry> aSorted) const
{
  if (aSorted.empty()) {
    return *this;
  }
  std::shared_ptr<directory> made = std::make_shared<directory>();
  std::size_t chunks = mDirectory ? mDirectory->mChunks.size() : 0;
  made->mFirstBits.reserve(chunks + 1);
  made->mChunks.reserve(chunks + 1);
  for (std::size_t i = 0; i < chunks; ++i) {
    auto end = aSorted.end();
    if (i + 1 < chunks) {
      Bits limit = mDirectory->mFirstBits[i + 1];
      end = std::lower_bound(
        aSorted.begin(),
        aSorted.end(),
        limit,
        [](const entry& aEntry, Bits aLimit) { return aEntry.mBits < aLimit; });
    }
    std::size_t count = static_cast<std::size_t>(end - aSorted.begin());
    if (count == 0) {
      made->mFirstBits.push_back(mDirectory->mFirstBits[i]);
      made->mChunks.push_back(mDirectory->mChunks[i]);
      continue;
    }
    AppendChunks(Merge(*mDirectory->mChunks[i], aSorted.first(count)), *made);
    aSorted = aSorted.subspan(count);
  }
  if (chunks == 0) {
    AppendChunks(Merge(chunk{}, aSorted), *made);
  }
  SetCoveringPrefixes(*made);
  prefix_chunks next;
  next.mDirectory = std::move(made);
  return next;
}

template<prefix_bits Bits>
std::size_t
prefix_chunks<Bits>::Size() const
{
  std::size_t size = 0;
  if (mDirectory) {
    for (const std::shared_ptr<const chunk>& one : mDirectory->mChunks) {
      size += one->Size();
    }
  }
  return size;
}

template<prefix_bits Bits>
std::size_t
prefix_chunks<Bits>::Bytes() const
{
  if (!mDirectory) {
    return 0;
  }
  std::size_t bytes =
    sizeof(directory) + mDirectory->mFirstBits.capacity() * sizeof(Bits) +
    mDirectory->mChunks.capacity() * sizeof(std::shared_ptr<const chunk>) +
    mDirectory->mCoveringPrefixes.capacity() *
      sizeof(typename directory::covering_prefix);
  for (const std::shared_ptr<const chunk>& one : mDirectory->mChunks) {
    bytes += sizeof(chunk) + one->mBits.capacity() * sizeof(Bits) +
             one->mDomains.capacity() * sizeof(domain_index) +
             one->mParents.capacity() * sizeof(std::uint16_t) +
             one->mLengths.capacity();
  }
  return bytes;
}

template class prefix_chunks<std::uint32_t>;
template class prefix_chunks<std::uint64_t>;
template class prefix_chunks<unsigned __int128>;

namespace {

using v4_entry = prefix_chunks<std::uint32_t>::entry;
using v6_entry = prefix_chunks<std::uint64_t>::entry;
using v6_long_entry = prefix_chunks<unsigned __int128>::entry;

enum class prefix_kind
{
  V4,
  V6,
  V6Long,
};

prefix_kind
KindOf(const client_prefix& aPrefix)
{
  if (aPrefix.mLength >= kMappedBits && IsMapped(aPrefix.mAddress)) {
    return prefix_kind::V4;
  }
  return aPrefix.mLength <= kMaxShortV6Length ? prefix_kind::V6
                                              : prefix_kind::V6Long;
}

template<prefix_bits Bits>
typename prefix_chunks<Bits>::entry
MakeEntry(const client_prefix& aPrefix, domain_index aDomainIndex)
{
  using table_entry = typename prefix_chunks<Bits>::entry;
  bool isV4 = sizeof(Bits) == sizeof(std::uint32_t);
  std::size_t first = isV4 ? kMappedBits / 8 : 0;
  std::uint8_t length =
    isV4 ? static_cast<std::uint8_t>(aPrefix.mLength - kMappedBits)
         : aPrefix.mLength;
  return table_entry{ ReadBits<Bits>(aPrefix.mAddress, first),
                      aDomainIndex,
                      length };
}

template<class Entry>
void
SortEntries(std::vector<Entry>& aEntries)
{
  std::stable_sort(aEntries.begin(), aEntries.end(), IsBefore<Entry>);
}

// Builds one kind at a time to limit the temporary memory that a build needs.
template<prefix_bits Bits>
prefix_chunks<Bits>
BuildKind(const block_map& aBlocks, prefix_kind aKind)
{
  using table_entry = typename prefix_chunks<Bits>::entry;
  std::size_t count = 0;
  for (const block_map::value_type& domain : aBlocks) {
    count += static_cast<std::size_t>(
      std::count_if(domain.second.Items().begin(),
                    domain.second.Items().end(),
                    [aKind](const client_prefix& aPrefix) {
                      return KindOf(aPrefix) == aKind;
                    }));
  }
  std::vector<table_entry> entries;
  entries.reserve(count);
  domain_index domainIndex = 0;
  for (const block_map::value_type& domain : aBlocks) {
    for (const client_prefix& prefix : domain.second.Items()) {
      if (KindOf(prefix) == aKind) {
        entries.push_back(MakeEntry<Bits>(prefix, domainIndex));
      }
    }
    ++domainIndex;
  }
  std::sort(entries.begin(), entries.end(), IsBefore<table_entry>);
  entries.erase(
    std::unique(entries.begin(), entries.end(), IsSamePrefix<table_entry>),
    entries.end());
  return prefix_chunks<Bits>::Build(entries);
}

client_prefix
Truncate(const address_bytes& aAddress, std::uint8_t aLength)
{
  client_prefix prefix{ {}, aLength };
  for (std::size_t i = 0; i < aAddress.size(); ++i) {
    std::size_t bits = i * 8 >= aLength ? 0 : aLength - i * 8;
    std::uint8_t mask =
      bits >= 8 ? 0xff : static_cast<std::uint8_t>(0xff00u >> bits);
    prefix.mAddress.at(i) = aAddress.at(i) & mask;
  }
  return prefix;
}

} // namespace

block_table::block_table()
  : mDomains(std::make_shared<std::vector<domain_id>>())
{
}

block_table
block_table::Build(const block_map& aBlocks)
{
  CheckInvariant(aBlocks.size() <= kMaxDomains, "block_table_sites", [&]() {
    return "sites=" + std::to_string(aBlocks.size());
  });
  block_table built;
  std::vector<domain_id> domains;
  for (const block_map::value_type& domain : aBlocks) {
    domains.push_back(domain.first);
  }
  built.mDomains = std::make_shared<std::vector<domain_id>>(std::move(domains));
  built.mV4 = BuildKind<std::uint32_t>(aBlocks, prefix_kind::V4);
  built.mV6 = BuildKind<std::uint64_t>(aBlocks, prefix_kind::V6);
  built.mV6Long = BuildKind<unsigned __int128>(aBlocks, prefix_kind::V6Long);
  return built;
}

// Searches the kinds from the longest prefixes to the shortest: an IPv4-mapped
// address may also match an IPv6 block that covers all of IPv4.
block_table::domain_match
block_table::Match(const address_bytes& aAddress) const
{
  if (IsMapped(aAddress)) {
    std::optional<prefix_chunks<std::uint32_t>::match> match =
      mV4.Find(ReadBits<std::uint32_t>(aAddress, kMappedBits / 8));
    if (match) {
      return { match->mDomainIndex,
               static_cast<std::uint8_t>(match->mLength + kMappedBits) };
    }
  }
  std::optional<prefix_chunks<unsigned __int128>::match> longer =
    mV6Long.Find(ReadBits<unsigned __int128>(aAddress, 0));
  if (longer) {
    return { longer->mDomainIndex, longer->mLength };
  }
  std::optional<prefix_chunks<std::uint64_t>::match> match =
    mV6.Find(ReadBits<std::uint64_t>(aAddress, 0));
  if (match) {
    return { match->mDomainIndex, match->mLength };
  }
  return {};
}

domain_index
block_table::FindDomainIndex(const address_bytes& aAddress) const
{
  return Match(aAddress).mDomainIndex;
}

std::optional<block_match>
block_table::Find(const address_bytes& aAddress) const
{
  domain_match match = Match(aAddress);
  if (match.mDomainIndex == kNoDomainIndex) {
    return std::nullopt;
  }
  return block_match{ mDomains->at(match.mDomainIndex),
                      Truncate(aAddress, match.mLength) };
}

block_table
block_table::With(std::span<const block_change> aChanges) const
{
  std::vector<domain_id> domains = *mDomains;
  std::map<domain_id, domain_index> indexes;
  for (const domain_id& id : domains) {
    indexes.emplace(id, static_cast<domain_index>(indexes.size()));
  }
  std::vector<v4_entry> v4;
  std::vector<v6_entry> v6;
  std::vector<v6_long_entry> v6Long;
  for (const block_change& change : aChanges) {
    domain_index domainIndex = kNoDomainIndex;
    if (change.mDomain) {
      auto found = indexes.emplace(*change.mDomain,
                                   static_cast<domain_index>(domains.size()));
      if (found.second) {
        domains.push_back(*change.mDomain);
      }
      domainIndex = found.first->second;
    }
    switch (KindOf(change.mPrefix)) {
      case prefix_kind::V4:
        v4.push_back(MakeEntry<std::uint32_t>(change.mPrefix, domainIndex));
        break;
      case prefix_kind::V6:
        v6.push_back(MakeEntry<std::uint64_t>(change.mPrefix, domainIndex));
        break;
      case prefix_kind::V6Long:
        v6Long.push_back(
          MakeEntry<unsigned __int128>(change.mPrefix, domainIndex));
        break;
    }
  }
  CheckInvariant(domains.size() <= kMaxDomains, "block_table_sites", [&]() {
    return "sites=" + std::to_string(domains.size());
  });
  SortEntries(v4);
  SortEntries(v6);
  SortEntries(v6Long);
  block_table next;
  next.mV4 = mV4.With(v4);
  next.mV6 = mV6.With(v6);
  next.mV6Long = mV6Long.With(v6Long);
  next.mDomains = std::make_shared<std::vector<domain_id>>(std::move(domains));
  return next;
}

std::size_t
block_table::Size() const
{
  return mV4.Size() + mV6.Size() + mV6Long.Size();
}

std::size_t
block_table::Bytes() const
{
  return mV4.Bytes() + mV6.Bytes() + mV6Long.Bytes();
}

// Removals come first, because a block that moves to another domain yields a
// removal and an addition, and the last change to a prefix takes effect.
std::vector<block_change>
DiffBlocks(const block_map& aFrom, const block_map& aTo)
{
  std::vector<block_change> changes;
  VisitRemovedBlocks(
    aFrom, aTo, [&](const domain_id&, const client_prefix& aPrefix) {
      changes.push_back({ aPrefix, std::nullopt });
    });
  VisitRemovedBlocks(
    aTo, aFrom, [&](const domain_id& aDomain, const client_prefix& aPrefix) {
      changes.push_back({ aPrefix, aDomain });
    });
  return changes;
}

} // namespace laburnumdyke
