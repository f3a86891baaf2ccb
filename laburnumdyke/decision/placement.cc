// The longest matching block gives the client's failure domain; instances are
// ordered by distance from it, then by rendezvous weight of the client, so
// that callers spread and a change moves only what it must.
#include "laburnumdyke/decision/placement.h"

#include <algorithm>
#include <tuple>

namespace laburnumdyke {

namespace {

// Clears the bits beyond aLength.
address_bytes
Truncate(address_bytes aAddress, std::uint8_t aLength)
{
  for (std::size_t i = 0; i < aAddress.size(); ++i) {
    int bits =
      std::clamp(static_cast<int>(aLength) - static_cast<int>(i) * 8, 0, 8);
    aAddress[i] &= static_cast<std::uint8_t>(0xff00 >> bits);
  }
  return aAddress;
}

domain_id
DomainOf(const document& aDocument,
         const address_bytes& aClient,
         const domain_id& aDefault)
{
  for (int length = 128; length >= 0; --length) {
    std::uint8_t bits = static_cast<std::uint8_t>(length);
    auto found =
      aDocument.mBlocks.find(client_prefix{ Truncate(aClient, bits), bits });
    if (found != aDocument.mBlocks.end()) {
      return found->second;
    }
  }
  return aDefault;
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
