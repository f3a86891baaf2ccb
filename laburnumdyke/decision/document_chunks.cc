// Content-defined chunks: a line whose hash has its low bits zero ends one. A
// fixed size would move every boundary behind an inserted line. What a change
// of one line moves is about two mean chunks (a line is more likely to stand in
// a long one) and the manifest; at 38 MB of text the sum is least near chunks
// of 36 KB.
#include "laburnumdyke/decision/document_chunks.h"

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/kernel/invariant.h"

#include <xxhash.h>

#include <set>

namespace laburnumdyke {

namespace {

constexpr std::string_view kHeader = "laburnumdyke-manifest 1\n";
constexpr std::uint64_t kBoundaryMask = 255; // one line in 256 ends a chunk
constexpr std::size_t kSmallestChunk = 8UL * 1024;  // bytes
constexpr std::size_t kLargestChunk = 256UL * 1024; // bytes
constexpr std::size_t kHashLength = 64;

// The length of the first chunk of a text.
std::size_t
ChunkLength(std::string_view aText)
{
  std::size_t length = 0;
  while (length < aText.size()) {
    std::size_t end = aText.find('\n', length);
    std::size_t next = end == std::string_view::npos ? aText.size() : end + 1;
    std::uint64_t hash = XXH3_64bits(aText.data() + length, next - length);
    length = next;
    bool boundary = (hash & kBoundaryMask) == 0 && length >= kSmallestChunk;
    if (boundary || length >= kLargestChunk) {
      break;
    }
  }
  return length;
}

std::optional<std::vector<std::string>>
ParseManifest(std::string_view aText)
{
  if (aText.substr(0, kHeader.size()) != kHeader) {
    return std::nullopt;
  }
  aText.remove_prefix(kHeader.size());
  std::vector<std::string> hashes;
  while (!aText.empty()) {
    if (aText.size() <= kHashLength || aText[kHashLength] != '\n') {
      return std::nullopt;
    }
    hashes.emplace_back(aText.substr(0, kHashLength));
    aText.remove_prefix(kHashLength + 1);
  }
  return hashes;
}

} // namespace

document_objects
SplitDocument(std::string_view aCanonical)
{
  document_objects result;
  std::string manifest(kHeader);
  while (!aCanonical.empty()) {
    std::size_t length = ChunkLength(aCanonical);
    std::string chunk(aCanonical.substr(0, length));
    aCanonical.remove_prefix(length);
    std::string hash = ContentHash(chunk);
    manifest += hash + "\n";
    result.mObjects[hash] =
      std::make_shared<const std::string>(std::move(chunk));
  }
  result.mHash = ContentHash(manifest);
  result.mObjects[result.mHash] =
    std::make_shared<const std::string>(std::move(manifest));
  return result;
}

std::string
DocumentHash(std::string_view aCanonical)
{
  return SplitDocument(aCanonical).mHash;
}

document_assembly::document_assembly(std::string aHash)
  : mHash(std::move(aHash))
{
}

bool
document_assembly::TakeManifest(std::string aText)
{
  std::optional<std::vector<std::string>> order = ParseManifest(aText);
  if (!order || ContentHash(aText) != mHash) {
    return false;
  }
  mOrder = std::move(*order);
  mObjects[mHash] = std::make_shared<const std::string>(std::move(aText));
  return true;
}

void
document_assembly::Reuse(const object_map& aObjects)
{
  for (const std::string& hash : mOrder) {
    auto found = aObjects.find(hash);
    if (found != aObjects.end()) {
      mObjects.insert(*found);
    }
  }
}

std::vector<std::string>
document_assembly::Missing() const
{
  std::vector<std::string> missing;
  std::set<std::string_view> seen;
  for (const std::string& hash : mOrder) {
    if (mObjects.count(hash) == 0 && seen.insert(hash).second) {
      missing.push_back(hash);
    }
  }
  return missing;
}

bool
document_assembly::TakeChunk(const std::string& aHash, std::string aText)
{
  if (ContentHash(aText) != aHash) {
    return false;
  }
  mObjects[aHash] = std::make_shared<const std::string>(std::move(aText));
  return true;
}

std::string
document_assembly::Text() const
{
  std::string text;
  for (const std::string& hash : mOrder) {
    auto found = mObjects.find(hash);
    CheckInvariant(found != mObjects.end(), "document_chunk_missing", [&]() {
      return "hash=" + hash;
    });
    text += *found->second;
  }
  return text;
}

} // namespace laburnumdyke
