// Longest-prefix match from client addresses to failure domains.
//
// Usage:
//   block_table table = block_table::Build(document.mBlocks);
//   std::optional<block_match> match = table.Find(address);
//   block_table next = table.With(DiffBlocks(oldBlocks, newBlocks));
//
// A table is immutable: With() returns a new table that shares all unmodified
// chunks with the old one, so updates never block readers. Copying a table
// copies a few shared pointers.
//
// Costs: 9 bytes per IPv4 prefix, 13 bytes per IPv6 prefix of up to 64 bits and
// 21 bytes per longer IPv6 prefix. A lookup does two binary searches for each
// prefix width that can match the address. An update copies the directory of
// chunks and each chunk that contains a change.
//
// Errors: removing a prefix that is not in the table has no effect. More than
// kMaxDomains failure domains violate an invariant.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/prefix.h"
#include "laburnumdyke/decision/types.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace laburnumdyke {

// Unsigned integer that holds the leading bits of a prefix; its width is the
// maximum prefix length of the kind.
template<class T>
concept prefix_bits = std::same_as<T, std::uint32_t> ||
  std::same_as<T, std::uint64_t> || std::same_as<T, unsigned __int128>;

// Index of a failure domain within one table.
using domain_index = std::uint16_t;
inline constexpr std::size_t kMaxDomains =
  std::numeric_limits<domain_index>::max() - 1;
inline constexpr domain_index kNoDomainIndex =
  std::numeric_limits<domain_index>::max();

// Prefixes of one integer width, in chunks sorted by (bits, length).
template<prefix_bits Bits>
class prefix_chunks
{
public:
  struct entry
  {
    Bits mBits = 0;
    // In a change, kNoDomainIndex removes the prefix.
    domain_index mDomainIndex = kNoDomainIndex;
    std::uint8_t mLength = 0;
  };

  struct match
  {
    domain_index mDomainIndex = kNoDomainIndex;
    std::uint8_t mLength = 0;
  };

  // aSorted: sorted by (bits, length), without duplicates.
  static prefix_chunks Build(std::span<const entry> aSorted);

  std::optional<match> Find(Bits aAddress) const;

  // Returns a copy with the changes applied. aSorted: sorted by (bits, length);
  // of equal prefixes the last one takes effect.
  prefix_chunks With(std::span<const entry> aSorted) const;

  std::size_t Size() const;

  // Memory allocated for the chunks and the directory, in bytes.
  std::size_t Bytes() const;

private:
  struct chunk;
  struct directory;

  static bool Contains(Bits aBits, std::uint8_t aLength, Bits aAddress);
  static std::shared_ptr<const chunk> MakeChunk(std::span<const entry> aSorted);
  static void AppendChunks(std::span<const entry> aSorted,
                           directory& aDirectory);
  static void SetCoveringPrefixes(directory& aDirectory);
  static std::vector<entry> Merge(const chunk& aChunk,
                                  std::span<const entry> aChanges);

  std::shared_ptr<const directory> mDirectory;
};

struct block_change
{
  client_prefix mPrefix;
  std::optional<domain_id> mDomain; // nullopt removes the block
};

struct block_match
{
  domain_id mDomain;
  client_prefix mPrefix; // the matching block
};

class block_table
{
public:
  block_table();

  static block_table Build(const block_map& aBlocks);

  std::optional<block_match> Find(const address_bytes& aAddress) const;

  // Like Find(), but returns only the domain's index, which avoids copying the
  // name. Returns kNoDomainIndex if no prefix matches.
  domain_index FindDomainIndex(const address_bytes& aAddress) const;

  block_table With(std::span<const block_change> aChanges) const;

  std::size_t Size() const;
  std::size_t Bytes() const;

private:
  struct domain_match
  {
    domain_index mDomainIndex = kNoDomainIndex;
    std::uint8_t mLength = 0; // bits, of the IPv6 form
  };

  domain_match Match(const address_bytes& aAddress) const;

  prefix_chunks<std::uint32_t> mV4;         // ::ffff:0:0/96 and longer
  prefix_chunks<std::uint64_t> mV6;         // up to 64 bits
  prefix_chunks<unsigned __int128> mV6Long; // 65 bits and longer
  std::shared_ptr<const std::vector<domain_id>> mDomains;
};

// The changes that turn aFrom into aTo.
std::vector<block_change>
DiffBlocks(const block_map& aFrom, const block_map& aTo);

} // namespace laburnumdyke
