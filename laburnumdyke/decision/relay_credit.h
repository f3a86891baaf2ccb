// What an entry instance has handed to its peers since their last adverts.
//
// Usage:
//   std::vector<peer> peers = credit.Adjust(membership.Live(now));
//   route next = ChooseRoute(service, self, own, peers, tried, now);
//   if (next.mStep == route_step::Relay)
//     credit.CountRelay(next.mTarget.mInstance, service);
//
// An advert stays in use for a heartbeat's period. Without this count every
// request of the period would go to the peer that advertised the most.
#pragma once

#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <cstdint>
#include <map>
#include <vector>

namespace laburnumdyke {

class relay_credit
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Adverts;

  // The peers with their free slots less what was handed to them. The order
  // turns by one with each call, so that equal peers take turns.
  std::vector<peer> Adjust(const std::vector<peer>& aPeers);

  void CountRelay(const instance_id& aInstance, const service_id& aService);

private:
  struct handed
  {
    std::uint64_t mIncarnation = 0; // of the advert
    std::uint64_t mSequence = 0;
    std::map<service_id, std::uint32_t> mRequests;
  };

  std::map<instance_id, handed> mHanded;
  std::size_t mTurn = 0;
};

} // namespace laburnumdyke
