// What relaying has told of the peers: requests handed over that a peer's
// credits do not count yet, and the credits that came back with answers.
//
// Usage:
//   ledger.Count(peer, service, now);  // with each hand-over
//   ledger.Refused(peer, now);         // where no connection could be made
//   ledger.Hear(peer, credits, now);   // with each answer of a relay
//   std::optional<heard_credit> heard = ledger.Heard(peer, service);
//   uint32_t spent = ledger.Spent(peer, service, counted);
//
// What is older than kMemory is forgotten.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace laburnumdyke {

struct heard_credit
{
  service_credit mCredit;
  instant mHeard{};
};

class relay_ledger
{
public:
  // No credit lives longer, so no older hand-over matters.
  static constexpr std::chrono::milliseconds kMemory{ 3000 };

  void Count(const instance_id& aPeer,
             const service_id& aService,
             instant aNow);

  // The peer's relay port refused a connection.
  void Refused(const instance_id& aPeer, instant aNow);

  // Whether it did since its latest advert arrived, at aHeard.
  bool IsRefusing(const instance_id& aPeer, instant aHeard) const;

  void Hear(const instance_id& aPeer,
            const std::vector<service_credit>& aCredits,
            instant aNow);

  std::optional<heard_credit> Heard(const instance_id& aPeer,
                                    const service_id& aService) const;

  // Hand-overs after aCounted.
  std::uint32_t Spent(const instance_id& aPeer,
                      const service_id& aService,
                      instant aCounted) const;

  // The time of the latest hand-over; the epoch where there is none.
  instant LastHandOver(const instance_id& aPeer,
                       const service_id& aService) const;

private:
  using key = std::pair<instance_id, service_id>;

  void Forget(instant aNow);

  std::map<key, std::deque<instant>> mHandedOver; // oldest first
  std::map<instance_id, instant> mRefused;
  std::map<key, heard_credit> mHeard;
  instant mForgotten{};
};

} // namespace laburnumdyke
