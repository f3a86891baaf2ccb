// The longest matching block gives the client's failure domain; instances are
// ordered by distance from it, then by rendezvous weight of the client, so
// that callers spread and a change moves only what it must.
#include "laburnumdyke/decision/placement.h"

#include <algorithm>
#include <tuple>

namespace laburnumdyke {

namespace {

bool
Contains(const client_prefix& aPrefix, const address_bytes& aAddress)
{
  std::size_t whole = aPrefix.mLength / 8;
  unsigned rest = aPrefix.mLength % 8;
  if (!std::equal(aAddress.begin(),
                  aAddress.begin() + static_cast<std::ptrdiff_t>(whole),
                  aPrefix.mAddress.begin())) {
    return false;
  }
  return rest == 0 ||
         ((aAddress.at(whole) ^ aPrefix.mAddress.at(whole)) >> (8 - rest)) == 0;
}

domain_id
DomainOf(const document& aDocument,
         const address_bytes& aClient,
         const domain_id& aDefault)
{
  domain_id best = aDefault;
  int longest = -1;
  for (const std::pair<const domain_id, std::vector<client_prefix>>& blocks :
       aDocument.mBlocks) {
    for (const client_prefix& prefix : blocks.second) {
      if (prefix.mLength > longest && Contains(prefix, aClient)) {
        best = blocks.first;
        longest = prefix.mLength;
      }
    }
  }
  return best;
}

} // namespace

std::vector<entry_choice>
PlaceClient(const document& aDocument,
            const service_id& aService,
            const address_bytes& aClient,
            const member& aSelf,
            const std::vector<peer>& aLivePeers)
{
  domain_id domain = DomainOf(aDocument, aClient, aSelf.mDomain);
  region_id region = aDocument.RegionOf(domain).value_or(aSelf.mRegion);
  std::string key(aClient.begin(), aClient.end());
  key += aService.mValue;
  struct candidate
  {
    int mDistance;
    std::uint64_t mWeight; // greater is better
    const member* mMember;
  };
  std::vector<candidate> candidates;
  auto consider = [&](const member& aMember) {
    if (!aMember.mLeaving) {
      int distance = aMember.mDomain == domain   ? 0
                     : aMember.mRegion == region ? 1
                                                 : 2;
      candidates.push_back({ distance,
                             RendezvousWeight(aMember.mInstance.mValue, key),
                             &aMember });
    }
  };
  consider(aSelf);
  for (const peer& one : aLivePeers) {
    consider(one.mLast.mSender);
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const candidate& aLeft, const candidate& aRight) {
              return std::make_tuple(aLeft.mDistance, ~aLeft.mWeight) <
                     std::make_tuple(aRight.mDistance, ~aRight.mWeight);
            });
  std::vector<entry_choice> choices;
  for (const candidate& one : candidates) {
    if (choices.size() < kMostChoices) {
      choices.push_back(
        { one.mMember->mInstance, one.mMember->mCaller, one.mMember->mDomain });
    }
  }
  return choices;
}

} // namespace laburnumdyke
