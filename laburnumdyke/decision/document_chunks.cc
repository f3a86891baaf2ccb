// Content-defined chunking: a line whose hash has its low bits zero ends a
// chunk. With chunks of a fixed size, an inserted line would shift every
// boundary after it. A change of one line transfers about two mean chunk sizes
// (a line is more likely to be in a long chunk) and the manifest; at 38 MB of
// text the sum is least with a mean chunk size near 36 KB.
#include "laburnumdyke/decision/document_chunks.h"

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/kernel/invariant.h"

#include <xxhash.h>

#include <set>

namespace laburnumdyke {

namespace {

constexpr std::string_view kManifestHeader = "laburnumdyke-manifest 1\n";
// One line in 256, by hash, ends a chunk.
constexpr std::uint64_t kBoundaryMask = 255;
constexpr std::size_t kMinChunkSize = 8UL * 1024;   // bytes
constexpr std::size_t kMaxChunkSize = 256UL * 1024; // bytes
constexpr std::size_t kHashLength = 64;

// Returns the length in bytes of the first chunk of a text.
std::size_t
FirstChunkLength(std::string_view aText)
{
  std::size_t length = 0;
  while (length < aText.size()) {
    std::size_t end = aText.find('\n', length);
    std::size_t next = end == std::string_view::npos ? aText.size() : end + 1;
    std::uint64_t hash = XXH3_64bits(aText.data() + length, next - length);
    length = next;
    bool boundary = (hash & kBoundaryMask) == 0 && length >= kMinChunkSize;
    if (boundary || length >= kMaxChunkSize) {
      break;
    }
  }
  return length;
}

std::optional<std::vector<std::string>>
ParseManifest(std::string_view aText)
{
  if (aText.substr(0, kManifestHeader.size()) != kManifestHeader) {
    return std::nullopt;
  }
  aText.remove_prefix(kManifestHeader.size());
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
  std::string manifest(kManifestHeader);
  while (!aCanonical.empty()) {
    std::size_t length = FirstChunkLength(aCanonical);
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
document_assembly::SetManifest(std::string aText)
{
  std::optional<std::vector<std::string>> chunkHashes = ParseManifest(aText);
  if (!chunkHashes || ContentHash(aText) != mHash) {
    return false;
  }
  mChunkHashes = std::move(*chunkHashes);
  mObjects[mHash] = std::make_shared<const std::string>(std::move(aText));
  return true;
}

void
document_assembly::Reuse(const object_map& aObjects)
{
  for (const std::string& hash : mChunkHashes) {
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
  for (const std::string& hash : mChunkHashes) {
    if (mObjects.count(hash) == 0 && seen.insert(hash).second) {
      missing.push_back(hash);
    }
  }
  return missing;
}

bool
document_assembly::AddChunk(const std::string& aHash, std::string aText)
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
  for (const std::string& hash : mChunkHashes) {
    auto found = mObjects.find(hash);
    CheckInvariant(found != mObjects.end(), "document_chunk_missing", [&]() {
      return "hash=" + hash;
    });
    text += *found->second;
  }
  return text;
}

} // namespace laburnumdyke
