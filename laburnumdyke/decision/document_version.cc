// A version's text is its sections, the line "[blocks]" and lines of blocks.
// Blocks are a set: what stands in chunks that only the earlier version has is
// taken away, what stands in chunks that only the new one has is added, and
// the order of chunks is of no matter. Lines of blocks are taken only in the
// form that RenderDocument gives them, which the full reader reads in the same
// way. Whatever else is met - a comment, a repeat, a fault - leaves the verdict
// to the full reader, so there is one place that names faults.
#include "laburnumdyke/decision/document_version.h"

#include "laburnumdyke/kernel/settings.h"

#include <set>
#include <string_view>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::string_view kHeading = "[blocks]\n";
constexpr std::string_view kAssign = " = ";
constexpr std::string_view kSeparator = ", ";
constexpr std::size_t kLongestLine = 198; // bytes, of the INI reader
// Above this share of all blocks, one merge of all lists finds repeats sooner
// than a search in each list for each block.
constexpr std::size_t kSearchDivisor = 1024;

using prefix_lists = std::map<domain_id, std::vector<client_prefix>>;

// Lines of blocks by the hash of their chunk. The chunk that holds the heading
// counts as another than one that holds the same text without it.
using segment_map = std::map<std::string, std::string_view>;

struct text_layout
{
  std::string mSections; // before the heading
  segment_map mSegments;
};

// Where the heading begins a line; npos where it doesn't.
std::size_t
FindHeading(std::string_view aText)
{
  if (aText.substr(0, kHeading.size()) == kHeading) {
    return 0;
  }
  std::size_t found = aText.find("\n" + std::string(kHeading));
  return found == std::string_view::npos ? found : found + 1;
}

// Nothing where the text isn't laid out as described. The views are into the
// assembly's objects.
std::optional<text_layout>
LayOut(const document_assembly& aAssembly)
{
  text_layout layout;
  bool inBlocks = false;
  for (const std::string& hash : aAssembly.Order()) {
    std::string_view chunk = *aAssembly.Objects().at(hash);
    if (chunk.empty() || chunk.back() != '\n') {
      return std::nullopt;
    }
    std::string name = hash;
    if (!inBlocks) {
      std::size_t heading = FindHeading(chunk);
      layout.mSections.append(chunk.substr(0, heading));
      if (heading == std::string_view::npos) {
        continue;
      }
      inBlocks = true;
      chunk.remove_prefix(heading + kHeading.size());
      name.insert(0, kHeading);
    }
    if (!layout.mSegments.emplace(std::move(name), chunk).second) {
      return std::nullopt;
    }
  }
  return inBlocks ? std::optional<text_layout>(std::move(layout))
                  : std::nullopt;
}

bool
TakeLine(std::string_view aLine, prefix_lists& aTo)
{
  std::size_t assign = aLine.find(kAssign);
  if (assign == std::string_view::npos || aLine.size() > kLongestLine ||
      !IsName(aLine.substr(0, assign))) {
    return false;
  }
  std::vector<client_prefix>& list =
    aTo[domain_id{ std::string(aLine.substr(0, assign)) }];
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

// False where a line is not as RenderDocument writes it.
bool
TakeLines(std::string_view aText, prefix_lists& aTo)
{
  while (!aText.empty()) {
    std::size_t end = aText.find('\n');
    if (!TakeLine(aText.substr(0, end), aTo)) {
      return false;
    }
    aText.remove_prefix(end + 1);
  }
  return true;
}

// Adds the blocks of each failure domain, at most.
void
CountBlocks(std::string_view aText, std::map<domain_id, std::size_t>& aCounts)
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

// Lists with their room beforehand: lists that grow would need the double for a
// moment.
prefix_lists
ReserveBeyond(const segment_map& aSegments, const segment_map& aOther)
{
  std::map<domain_id, std::size_t> counts;
  for (const segment_map::value_type& segment : aSegments) {
    if (aOther.count(segment.first) == 0) {
      CountBlocks(segment.second, counts);
    }
  }
  prefix_lists lists;
  for (const std::map<domain_id, std::size_t>::value_type& entry : counts) {
    lists[entry.first].reserve(entry.second);
  }
  return lists;
}

// The blocks of the segments that aOther lacks, sorted; nothing where a line
// is in another form or a block stands twice in a list.
std::optional<prefix_lists>
BlocksBeyond(const segment_map& aSegments, const segment_map& aOther)
{
  prefix_lists lists = ReserveBeyond(aSegments, aOther);
  for (const segment_map::value_type& segment : aSegments) {
    if (aOther.count(segment.first) == 0 && !TakeLines(segment.second, lists)) {
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

// Takes what both hold out of both: most blocks of a changed chunk.
void
DropCommon(prefix_lists& aGone, prefix_lists& aFresh)
{
  for (prefix_lists::value_type& entry : aGone) {
    auto other = aFresh.find(entry.first);
    if (other == aFresh.end()) {
      continue;
    }
    std::vector<client_prefix> gone;
    std::vector<client_prefix> fresh;
    std::set_difference(entry.second.begin(),
                        entry.second.end(),
                        other->second.begin(),
                        other->second.end(),
                        std::back_inserter(gone));
    std::set_difference(other->second.begin(),
                        other->second.end(),
                        entry.second.begin(),
                        entry.second.end(),
                        std::back_inserter(fresh));
    entry.second = std::move(gone);
    other->second = std::move(fresh);
  }
}

void
Remove(block_map& aBlocks, const prefix_lists& aGone)
{
  for (const prefix_lists::value_type& entry : aGone) {
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
Add(block_map& aBlocks, const block_map& aFresh)
{
  for (const block_map::value_type& entry : aFresh) {
    block_list& list = aBlocks[entry.first];
    const block_list::container& had = list.Items();
    const block_list::container& fresh = entry.second.Items();
    if (had.empty()) {
      list = entry.second;
    } else if (!fresh.empty()) {
      std::vector<client_prefix> merged;
      merged.reserve(had.size() + fresh.size());
      std::merge(had.begin(),
                 had.end(),
                 fresh.begin(),
                 fresh.end(),
                 std::back_inserter(merged));
      list = block_list(std::move(merged));
    }
  }
}

std::size_t
CountIn(const block_map& aBlocks, const client_prefix& aBlock)
{
  std::size_t count = 0;
  for (const block_map::value_type& entry : aBlocks) {
    auto range = std::equal_range(
      entry.second.Items().begin(), entry.second.Items().end(), aBlock);
    count += static_cast<std::size_t>(range.second - range.first);
  }
  return count;
}

// aFresh: all that aBlocks gained since it had no repeats.
bool
HasRepeats(const block_map& aBlocks, const block_map& aFresh)
{
  std::size_t all = 0;
  for (const block_map::value_type& entry : aBlocks) {
    all += entry.second.Items().size();
  }
  std::size_t gained = 0;
  for (const block_map::value_type& entry : aFresh) {
    gained += entry.second.Items().size();
  }
  if (gained > all / kSearchDivisor) {
    return !RepeatedBlocks(aBlocks).empty();
  }
  for (const block_map::value_type& entry : aFresh) {
    for (const client_prefix& block : entry.second.Items()) {
      if (CountIn(aBlocks, block) != 1) {
        return true;
      }
    }
  }
  return false;
}

// The earlier version's blocks and where they stand; nothing of either where
// there is none to build on.
struct known_blocks
{
  block_map mBlocks;
  document_assembly mAssembly;
  segment_map mSegments; // into mAssembly's objects
};

known_blocks
KnownOf(const document_version& aPrevious)
{
  known_blocks known{ {}, document_assembly(aPrevious.mHash), {} };
  auto manifest = aPrevious.mObjects.find(aPrevious.mHash);
  if (!aPrevious.mByChunk || !aPrevious.mDocument ||
      manifest == aPrevious.mObjects.end() ||
      !known.mAssembly.TakeManifest(*manifest->second)) {
    return known;
  }
  known.mAssembly.Reuse(aPrevious.mObjects);
  if (!known.mAssembly.Missing().empty()) {
    return known;
  }
  std::optional<text_layout> layout = LayOut(known.mAssembly);
  if (layout) {
    known.mBlocks = aPrevious.mDocument->mBlocks;
    known.mSegments = std::move(layout->mSegments);
  }
  return known;
}

// Nothing where the full reader has to decide.
std::optional<block_map>
ReadBlocks(const segment_map& aSegments, const document_version& aPrevious)
{
  known_blocks known = KnownOf(aPrevious);
  std::optional<prefix_lists> gone = BlocksBeyond(known.mSegments, aSegments);
  std::optional<prefix_lists> fresh = BlocksBeyond(aSegments, known.mSegments);
  if (!gone || !fresh) {
    return std::nullopt;
  }
  DropCommon(*gone, *fresh);
  block_map gained;
  for (prefix_lists::value_type& entry : *fresh) {
    gained[entry.first] = block_list(std::move(entry.second));
  }
  block_map blocks = std::move(known.mBlocks);
  Remove(blocks, *gone);
  Add(blocks, gained);
  std::erase_if(blocks, [](const block_map::value_type& aEntry) {
    return aEntry.second.Items().empty();
  });
  if (blocks.empty() || HasRepeats(blocks, gained)) {
    return std::nullopt;
  }
  return blocks;
}

std::optional<document>
ReadChanged(const document_assembly& aNext, const document_version& aPrevious)
{
  std::optional<text_layout> layout = LayOut(aNext);
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
  read.mResult.mDocument = ReadChanged(aNext, aPrevious);
  read.mByChunk = read.mResult.mDocument.has_value();
  if (!read.mByChunk) {
    read.mResult = ParseDocument(aNext.Text());
  }
  return read;
}

} // namespace laburnumdyke
