// The canonical text is written field by field from the table of fields that
// also drives parsing, in a fixed order of section kinds, names and keys.
// Blocks are packed into lines short enough for the INI parser.
#include "laburnumdyke/decision/document_schema.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMaxBlockLineLength = 190; // bytes
// One block in 16, by hash, ends a line.
constexpr std::uint64_t kLineBreakMask = 15;

template<class Spec>
void
RenderSection(std::string& aOut,
              std::string_view aKind,
              std::string_view aName,
              const Spec& aSpec)
{
  aOut.append("[").append(aKind).append(" ").append(aName).append("]\n");
  for (const field_rule<Spec>& rule : Fields<Spec>()) {
    aOut.append(rule.mKey)
      .append(" = ")
      .append(rule.mFormat(aSpec))
      .append("\n");
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
RenderBlockList(std::string& aOut,
                const std::string& aDomain,
                const block_list& aBlocks)
{
  std::size_t lineStart = aOut.size();
  bool startsLine = true;
  for (const client_prefix& block : aBlocks.Items()) {
    std::string text = block.Text();
    std::size_t length = aOut.size() - lineStart + 2 + text.size();
    if (!startsLine && length <= kMaxBlockLineLength) {
      aOut.append(", ");
    } else {
      aOut.append(aOut.size() > lineStart ? "\n" : "");
      lineStart = aOut.size();
      aOut.append(aDomain).append(" = ");
    }
    aOut.append(text);
    // Content-defined line breaks: an inserted block changes only the lines up
    // to the next such break, not all that follow.
    startsLine = (XXH3_64bits(text.data(), text.size()) & kLineBreakMask) == 0;
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
  VisitSectionMaps(
    aDocument, [&out]<class Map>(std::string_view aKind, const Map& aSpecs) {
      for (const typename Map::value_type& entry : aSpecs) {
        RenderSection(out, aKind, NameText(entry.first), entry.second);
      }
    });
  RenderRanks(out, aDocument);
  if (!aDocument.mBlocks.empty()) {
    out.append("[blocks]\n");
  }
  for (const block_map::value_type& entry : aDocument.mBlocks) {
    RenderBlockList(out, entry.first.mValue, entry.second);
  }
  return out;
}

std::string
ContentHash(std::string_view aText)
{
  static constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned i = 0; i < length; ++i) {
    hex.push_back(kHexDigits[digest.at(i) >> 4]);
    hex.push_back(kHexDigits[digest.at(i) & 15]);
  }
  return hex;
}

} // namespace laburnumdyke
