// Sections are kept in sorted maps and blocks in sorted lists, so each kind is
// compared by a merge. Values are formatted by the table of fields, so that
// they appear as in the canonical text.
#include "laburnumdyke/decision/document_difference.h"

#include "laburnumdyke/decision/document_schema.h"

#include <algorithm>
#include <iterator>

namespace laburnumdyke {

namespace {

using change_list = std::vector<document_change>;

constexpr std::string_view kNone = "(none)";

// aBefore is null if the section is added, aAfter if it is removed.
template<class Spec>
void
CompareSections(const std::string& aSection,
                const Spec* aBefore,
                const Spec* aAfter,
                change_list& aChanges)
{
  for (const field_rule<Spec>& rule : Fields<Spec>()) {
    document_change change;
    change.mSection = aSection;
    change.mField = rule.mKey;
    if (aBefore != nullptr) {
      change.mBefore = rule.mFormat(*aBefore);
    }
    if (aAfter != nullptr) {
      change.mAfter = rule.mFormat(*aAfter);
    }
    if (change.mBefore != change.mAfter) {
      aChanges.push_back(std::move(change));
    }
  }
}

template<class Map>
void
CompareMaps(std::string_view aKind,
            const Map& aBefore,
            const Map& aAfter,
            change_list& aChanges)
{
  using spec = typename Map::mapped_type;
  auto before = aBefore.begin();
  auto after = aAfter.begin();
  while (before != aBefore.end() || after != aAfter.end()) {
    bool hasBefore = before != aBefore.end() &&
                     (after == aAfter.end() || !(after->first < before->first));
    bool hasAfter = after != aAfter.end() && (before == aBefore.end() ||
                                              !(before->first < after->first));
    const spec* beforeSpec = hasBefore ? &before->second : nullptr;
    const spec* afterSpec = hasAfter ? &after->second : nullptr;
    const std::string& name =
      NameText(hasBefore ? before->first : after->first);
    CompareSections(
      std::string(aKind) + " " + name, beforeSpec, afterSpec, aChanges);
    before = hasBefore ? std::next(before) : before;
    after = hasAfter ? std::next(after) : after;
  }
}

void
CompareBlocks(const block_map& aBefore,
              const block_map& aAfter,
              change_list& aChanges)
{
  std::map<client_prefix, document_change> changes;
  VisitRemovedBlocks(
    aBefore,
    aAfter,
    [&](const domain_id& aDomain, const client_prefix& aBlock) {
      changes[aBlock].mBefore = aDomain.mValue;
    });
  VisitRemovedBlocks(
    aAfter,
    aBefore,
    [&](const domain_id& aDomain, const client_prefix& aBlock) {
      changes[aBlock].mAfter = aDomain.mValue;
    });
  using change_entry = std::map<client_prefix, document_change>::value_type;
  for (change_entry& entry : changes) {
    entry.second.mSection = "blocks";
    entry.second.mField = entry.first.Text();
    aChanges.push_back(std::move(entry.second));
  }
}

} // namespace

std::vector<document_change>
Difference(const document& aBefore, const document& aAfter)
{
  change_list changes;
  CompareMaps("region", aBefore.mRegions, aAfter.mRegions, changes);
  CompareMaps("failure_domain", aBefore.mDomains, aAfter.mDomains, changes);
  CompareMaps("service", aBefore.mServices, aAfter.mServices, changes);
  CompareMaps("upstream", aBefore.mUpstreams, aAfter.mUpstreams, changes);
  CompareMaps("link", aBefore.mLinks, aAfter.mLinks, changes);
  CompareMaps("shift", aBefore.mShifts, aAfter.mShifts, changes);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    std::string_view rank = ToString(static_cast<work_rank>(i));
    CompareSections("rank " + std::string(rank),
                    &aBefore.mRanks.at(i),
                    &aAfter.mRanks.at(i),
                    changes);
  }
  CompareBlocks(aBefore.mBlocks, aAfter.mBlocks, changes);
  return changes;
}

std::string
RenderDifference(const std::vector<document_change>& aChanges)
{
  std::string out;
  for (const document_change& change : aChanges) {
    out.append(change.mSection).append(": ").append(change.mField).append(": ");
    out.append(change.mBefore ? std::string_view(*change.mBefore) : kNone);
    out.append(" -> ");
    out.append(change.mAfter ? std::string_view(*change.mAfter) : kNone);
    out.append("\n");
  }
  return out;
}

} // namespace laburnumdyke
