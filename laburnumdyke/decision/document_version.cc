// The text of a version consists of sections, the line "[blocks]" and lines of
// blocks. Blocks form a set, so the order of the chunks doesn't matter: blocks
// in chunks that only the previous version has are removed, and blocks in
// chunks that only the new version has are added. Lines of blocks are accepted
// only in the format of RenderDocument(), which ParseDocument() reads in the
// same way. Anything else, such as a comment, a repeated block or a fault,
// falls back to ParseDocument(), so that faults are reported in one place only.
#include "laburnumdyke/decision/document_version.h"

#include "laburnumdyke/kernel/settings.h"

#include <set>
#include <string_view>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::string_view kBlocksHeading = "[blocks]\n";
constexpr std::string_view kAssign = " = ";
constexpr std::string_view kSeparator = ", ";
constexpr std::size_t kMaxLineLength = 198; // bytes, the INI parser's limit
// If more than one block in this many was added, one merge of all lists finds
// repeats sooner than a binary search of every list for each added block.
constexpr std::size_t kSearchDivisor = 1024;

using prefix_lists = std::map<domain_id, std::vector<client_prefix>>;

// Lines of blocks by the hash of their chunk. The key of the chunk that holds
// the heading has a prefix: the same chunk after the heading has other block
// lines.
using segment_map = std::map<std::string, std::string_view>;

struct text_layout
{
  std::string mSections; // before the heading
  segment_map mSegments;
};

// Returns the position of the heading at the start of a line, or npos.
std::size_t
FindHeading(std::string_view aText)
{
  if (aText.substr(0, kBlocksHeading.size()) == kBlocksHeading) {
    return 0;
  }
  std::size_t found = aText.find("\n" + std::string(kBlocksHeading));
  return found == std::string_view::npos ? found : found + 1;
}

// Returns std::nullopt unless every chunk ends at a line end, the heading is
// there and no chunk of block lines is repeated. The views refer to the
// assembly's objects.
std::optional<text_layout>
ParseLayout(const document_assembly& aAssembly)
{
  text_layout layout;
  bool inBlocks = false;
  for (const std::string& hash : aAssembly.ChunkHashes()) {
    std::string_view chunk = *aAssembly.Objects().at(hash);
    if (chunk.empty() || chunk.back() != '\n') {
      return std::nullopt;
    }
    std::string segmentKey = hash;
    if (!inBlocks) {
      std::size_t heading = FindHeading(chunk);
      layout.mSections.append(chunk.substr(0, heading));
      if (heading == std::string_view::npos) {
        continue;
      }
      inBlocks = true;
      chunk.remove_prefix(heading + kBlocksHeading.size());
      segmentKey.insert(0, kBlocksHeading);
    }
    if (!layout.mSegments.emplace(std::move(segmentKey), chunk).second) {
      return std::nullopt;
    }
  }
  return inBlocks ? std::optional<text_layout>(std::move(layout))
                  : std::nullopt;
}

// Appends the blocks of one line to the list of their failure domain. Returns
// false if the line is not as RenderDocument() writes it.
bool
ParseBlockLine(std::string_view aLine, prefix_lists& aLists)
{
  std::size_t assign = aLine.find(kAssign);
  if (assign == std::string_view::npos || aLine.size() > kMaxLineLength ||
      !IsName(aLine.substr(0, assign))) {
    return false;
  }
  std::vector<client_prefix>& list =
    aLists[domain_id{ std::string(aLine.substr(0, assign)) }];
  aLine.remove_prefix(assign + kAssign.size());
  while (true) {
    std::size_t end = aLine.find(kSeparator);
    std::optional<client_prefix> prefix = ParsePrefix(aLine.substr(0, end));
    if (!prefix) {
      return false;
    }
    list.push_back(*prefix);
    if (end == std::string_view::npos) {
      return true;
    }
    aLine.remove_prefix(end + kSeparator.size());
  }
}

// Returns false if any line is not as RenderDocument() writes it.
bool
ParseBlockLines(std::string_view aText, prefix_lists& aLists)
{
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    if (!ParseBlockLine(aText.substr(0, end), aLists)) {
      return false;
    }
    aText.remove_prefix(end + 1);
  }
  return true;
}

// Adds an upper bound of the number of blocks to the count of each failure
// domain.
void
AddBlockCounts(std::string_view aText,
               std::map<domain_id, std::size_t>& aCounts)
{
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    std::string_view line = aText.substr(0, end);
    std::size_t assign = line.find(kAssign);
    if (assign != std::string_view::npos) {
      aCounts[domain_id{ std::string(line.substr(0, assign)) }] +=
        1 + static_cast<std::size_t>(std::count(line.begin(), line.end(), ','));
    }
    aText.remove_prefix(end + 1);
  }
}

// Returns empty lists with the capacity for the blocks of the segments that
// aOther lacks. A list that grows by reallocation would briefly need twice the
// memory.
prefix_lists
ReserveUnshared(const segment_map& aSegments, const segment_map& aOther)
{
  std::map<domain_id, std::size_t> counts;
  for (const segment_map::value_type& segment : aSegments) {
    if (aOther.count(segment.first) == 0) {
      AddBlockCounts(segment.second, counts);
    }
  }
  prefix_lists lists;
  for (const std::map<domain_id, std::size_t>::value_type& entry : counts) {
    lists[entry.first].reserve(entry.second);
  }
  return lists;
}

// Returns the blocks of the segments that aOther lacks, sorted, or std::nullopt
// if a line is not in canonical form or a list has a block twice.
std::optional<prefix_lists>
UnsharedBlocks(const segment_map& aSegments, const segment_map& aOther)
{
  prefix_lists lists = ReserveUnshared(aSegments, aOther);
  for (const segment_map::value_type& segment : aSegments) {
    if (aOther.count(segment.first) == 0 &&
        !ParseBlockLines(segment.second, lists)) {
      return std::nullopt;
    }
  }
  for (prefix_lists::value_type& entry : lists) {
    std::vector<client_prefix>& list = entry.second;
    std::sort(list.begin(), list.end());
    if (std::adjacent_find(list.begin(), list.end()) != list.end()) {
      return std::nullopt;
    }
  }
  return lists;
}

// Removes from both the blocks that are in both: most blocks of a changed
// chunk.
void
RemoveCommon(prefix_lists& aRemoved, prefix_lists& aAdded)
{
  for (prefix_lists::value_type& entry : aRemoved) {
    auto other = aAdded.find(entry.first);
    if (other == aAdded.end()) {
      continue;
    }
    std::vector<client_prefix> removed;
    std::vector<client_prefix> added;
    std::set_difference(entry.second.begin(),
                        entry.second.end(),
                        other->second.begin(),
                        other->second.end(),
                        std::back_inserter(removed));
    std::set_difference(other->second.begin(),
                        other->second.end(),
                        entry.second.begin(),
                        entry.second.end(),
                        std::back_inserter(added));
    entry.second = std::move(removed);
    other->second = std::move(added);
  }
}

void
RemoveBlocks(block_map& aBlocks, const prefix_lists& aRemoved)
{
  for (const prefix_lists::value_type& entry : aRemoved) {
    auto list = aBlocks.find(entry.first);
    if (list == aBlocks.end() || entry.second.empty()) {
      continue;
    }
    std::vector<client_prefix> kept;
    const block_list::container& blocks = list->second.Items();
    kept.reserve(blocks.size());
    std::set_difference(blocks.begin(),
                        blocks.end(),
                        entry.second.begin(),
                        entry.second.end(),
                        std::back_inserter(kept));
    list->second = block_list(std::move(kept));
  }
}

void
AddBlocks(block_map& aBlocks, const block_map& aAdded)
{
  for (const block_map::value_type& entry : aAdded) {
    block_list& list = aBlocks[entry.first];
    const block_list::container& existing = list.Items();
    const block_list::container& added = entry.second.Items();
    if (existing.empty()) {
      list = entry.second;
    } else if (!added.empty()) {
      std::vector<client_prefix> merged;
      merged.reserve(existing.size() + added.size());
      std::merge(existing.begin(),
                 existing.end(),
                 added.begin(),
                 added.end(),
                 std::back_inserter(merged));
      list = block_list(std::move(merged));
    }
  }
}

std::size_t
CountOccurrences(const block_map& aBlocks, const client_prefix& aBlock)
{
  std::size_t count = 0;
  for (const block_map::value_type& entry : aBlocks) {
    auto range = std::equal_range(
      entry.second.Items().begin(), entry.second.Items().end(), aBlock);
    count += static_cast<std::size_t>(range.second - range.first);
  }
  return count;
}

// aAdded holds all blocks that were added to aBlocks since it had no repeats.
bool
HasRepeatedBlocks(const block_map& aBlocks, const block_map& aAdded)
{
  std::size_t totalCount = 0;
  for (const block_map::value_type& entry : aBlocks) {
    totalCount += entry.second.Items().size();
  }
  std::size_t addedCount = 0;
  for (const block_map::value_type& entry : aAdded) {
    addedCount += entry.second.Items().size();
  }
  if (addedCount > totalCount / kSearchDivisor) {
    return !DuplicateBlocks(aBlocks).empty();
  }
  for (const block_map::value_type& entry : aAdded) {
    for (const client_prefix& block : entry.second.Items()) {
      if (CountOccurrences(aBlocks, block) != 1) {
        return true;
      }
    }
  }
  return false;
}

// The previous version's blocks and the segments they were read from; both are
// empty if the previous version can't serve as a base.
struct base_blocks
{
  block_map mBlocks;
  document_assembly mAssembly;
  segment_map mSegments; // views of mAssembly's objects
};

base_blocks
LoadBase(const document_version& aPrevious)
{
  base_blocks base{ {}, document_assembly(aPrevious.mHash), {} };
  auto manifest = aPrevious.mObjects.find(aPrevious.mHash);
  if (!aPrevious.mIncremental || !aPrevious.mDocument ||
      manifest == aPrevious.mObjects.end() ||
      !base.mAssembly.SetManifest(*manifest->second)) {
    return base;
  }
  base.mAssembly.Reuse(aPrevious.mObjects);
  if (!base.mAssembly.Missing().empty()) {
    return base;
  }
  std::optional<text_layout> layout = ParseLayout(base.mAssembly);
  if (layout) {
    base.mBlocks = aPrevious.mDocument->mBlocks;
    base.mSegments = std::move(layout->mSegments);
  }
  return base;
}

// Returns std::nullopt if the text must be parsed in full.
std::optional<block_map>
ReadBlocks(const segment_map& aSegments, const document_version& aPrevious)
{
  base_blocks base = LoadBase(aPrevious);
  std::optional<prefix_lists> removed =
    UnsharedBlocks(base.mSegments, aSegments);
  std::optional<prefix_lists> added = UnsharedBlocks(aSegments, base.mSegments);
  if (!removed || !added) {
    return std::nullopt;
  }
  RemoveCommon(*removed, *added);
  block_map addedLists;
  for (prefix_lists::value_type& entry : *added) {
    addedLists[entry.first] = block_list(std::move(entry.second));
  }
  block_map blocks = std::move(base.mBlocks);
  RemoveBlocks(blocks, *removed);
  AddBlocks(blocks, addedLists);
  std::erase_if(blocks, [](const block_map::value_type& aEntry) {
    return aEntry.second.Items().empty();
  });
  if (blocks.empty() || HasRepeatedBlocks(blocks, addedLists)) {
    return std::nullopt;
  }
  return blocks;
}

// Returns std::nullopt if the text must be parsed in full.
std::optional<document>
ReadIncrementally(const document_assembly& aNext,
                  const document_version& aPrevious)
{
  std::optional<text_layout> layout = ParseLayout(aNext);
  if (!layout) {
    return std::nullopt;
  }
  document_result sections = ParseSections(layout->mSections);
  if (!sections.mDocument || !sections.mDocument->mBlocks.empty()) {
    return std::nullopt;
  }
  std::optional<block_map> blocks = ReadBlocks(layout->mSegments, aPrevious);
  if (!blocks) {
    return std::nullopt;
  }
  sections.mDocument->mBlocks = std::move(*blocks);
  if (!ValidateReferences(*sections.mDocument).empty() ||
      !ValidateLimits(*sections.mDocument).empty()) {
    return std::nullopt;
  }
  return std::move(sections.mDocument);
}

} // namespace

version_result
ReadVersion(const document_assembly& aNext, const document_version& aPrevious)
{
  version_result read;
  read.mResult.mDocument = ReadIncrementally(aNext, aPrevious);
  read.mIncremental = read.mResult.mDocument.has_value();
  if (!read.mIncremental) {
    read.mResult = ParseDocument(aNext.Text());
  }
  return read;
}

} // namespace laburnumdyke
