// Requests handed over to peers that their latest adverts do not count yet.
//
// Usage:
//   uint32_t spent = ledger.Spent(peer, service, heard);
//   ledger.Count(peer, service, now); // with each hand-over
//   ledger.Refused(peer, now);        // where no connection could be made
//
// A hand-over counts until an advert arrives that was composed after the
// request did: kInTransit is added to the time of the hand-over for that.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace laburnumdyke {

class relay_ledger
{
public:
  // A request out and an advert back, over the longest link.
  static constexpr std::chrono::milliseconds kInTransit{ 100 };
  // No advert lives longer, so no older hand-over matters.
  static constexpr std::chrono::milliseconds kMemory{ 3000 };

  void Count(const instance_id& aPeer,
             const service_id& aService,
             instant aNow);

  // The peer's relay port refused a connection.
  void Refused(const instance_id& aPeer, instant aNow);

  // Whether it did since its latest advert arrived, at aHeard.
  bool IsRefusing(const instance_id& aPeer, instant aHeard) const;

  // aHeard is when the peer's latest advert arrived.
  std::uint32_t Spent(const instance_id& aPeer,
                      const service_id& aService,
                      instant aHeard) const;

private:
  using key = std::pair<instance_id, service_id>;
  std::map<key, std::deque<instant>> mHandedOver; // oldest first
  std::map<instance_id, instant> mRefused;
};

} // namespace laburnumdyke
