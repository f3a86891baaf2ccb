// The canonical text is written field by field from the same table that reads
// it, in a fixed order of kinds, names and keys. Blocks are packed into lines
// that the INI reader takes whole.
#include "laburnumdyke/decision/document_schema.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace laburnumdyke {

namespace {

constexpr std::size_t kLongestBlockLine = 190; // bytes
constexpr std::uint64_t kLineEndMask = 15;     // one block in 16 ends a line

template<class Spec>
void
RenderSection(std::string& aOut,
              std::string_view aKind,
              std::string_view aName,
              const Spec& aSpec)
{
  aOut.append("[").append(aKind).append(" ").append(aName).append("]\n");
  for (const field_rule<Spec>& rule : Fields<Spec>()) {
    aOut.append(rule.mKey).append(" = ").append(rule.mShow(aSpec)).append("\n");
  }
}

void
RenderRanks(std::string& aOut, const document& aDocument)
{
  for (std::size_t i = 0; i < kRankCount; ++i) {
    RenderSection(aOut,
                  "rank",
                  ToString(static_cast<work_rank>(i)),
                  aDocument.mRanks.at(i));
  }
}

void
RenderBlocksOf(std::string& aOut,
               const std::string& aDomain,
               const block_list& aBlocks)
{
  std::size_t lineStart = aOut.size();
  bool full = true;
  for (const client_prefix& block : aBlocks.Items()) {
    std::string text = block.Text();
    std::size_t length = aOut.size() - lineStart + 2 + text.size();
    if (!full && length <= kLongestBlockLine) {
      aOut.append(", ");
    } else {
      aOut.append(aOut.size() > lineStart ? "\n" : "");
      lineStart = aOut.size();
      aOut.append(aDomain).append(" = ");
    }
    aOut.append(text);
    // Some lines end by content, so that an inserted block moves the blocks
    // of a few lines and not of all that follow.
    full = (XXH3_64bits(text.data(), text.size()) & kLineEndMask) == 0;
  }
  aOut.append("\n");
}

} // namespace

std::optional<region_id>
document::RegionOf(const domain_id& aDomain) const
{
  auto found = mDomains.find(aDomain);
  if (found == mDomains.end()) {
    return std::nullopt;
  }
  return found->second.mRegion;
}

std::string
RenderDocument(const document& aDocument)
{
  std::string out;
  VisitKinds(aDocument,
             [&out]<class Map>(std::string_view aKind, const Map& aSpecs) {
               for (const typename Map::value_type& entry : aSpecs) {
                 RenderSection(out, aKind, NameText(entry.first), entry.second);
               }
             });
  RenderRanks(out, aDocument);
  if (!aDocument.mBlocks.empty()) {
    out.append("[blocks]\n");
  }
  for (const block_map::value_type& entry : aDocument.mBlocks) {
    RenderBlocksOf(out, entry.first.mValue, entry.second);
  }
  return out;
}

std::string
ContentHash(std::string_view aText)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned i = 0; i < length; ++i) {
    hex.push_back(kDigits[digest.at(i) >> 4]);
    hex.push_back(kDigits[digest.at(i) & 15]);
  }
  return hex;
}

} // namespace laburnumdyke
