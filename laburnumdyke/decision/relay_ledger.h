// State of the peers as seen by relaying: the requests relayed to a peer that
// its credits do not include yet, and the credits that came with its answers.
//
// Usage:
//   ledger.RecordRelay(peer, service, now);    // for each relayed request
//   ledger.RecordRefusal(peer, now);           // when a connection was refused
//   ledger.RecordCredits(peer, credits, now);  // for each answer to a relay
//   std::optional<received_credit> credit =
//     ledger.ReceivedCredit(peer, service);
//   uint32_t relays = ledger.RelaysSince(peer, service, since);
//
// Entries expire after kRetention.
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

// A credit and the time at which it was received.
struct received_credit
{
  service_credit mCredit;
  instant mHeard{};
};

class relay_ledger
{
public:
  // Credits are not used for longer, so older relays do not matter.
  static constexpr std::chrono::milliseconds kRetention{ 3000 };

  // Counts a request that is relayed to the peer.
  void RecordRelay(const instance_id& aPeer,
                   const service_id& aService,
                   instant aNow);

  // Records that the peer's relay port refused a connection.
  void RecordRefusal(const instance_id& aPeer, instant aNow);

  // Whether the peer refused a connection since its latest advert arrived, at
  // aAdvertTime.
  bool HasRefusedSince(const instance_id& aPeer, instant aAdvertTime) const;

  // Records the credits that came with an answer of the peer.
  void RecordCredits(const instance_id& aPeer,
                     const std::vector<service_credit>& aCredits,
                     instant aNow);

  // The latest recorded credit of the peer, if any.
  std::optional<received_credit> ReceivedCredit(
    const instance_id& aPeer,
    const service_id& aService) const;

  // Requests relayed to the peer after aSince.
  std::uint32_t RelaysSince(const instance_id& aPeer,
                            const service_id& aService,
                            instant aSince) const;

  // The time of the latest relay to the peer; the epoch if there is none.
  instant LastRelay(const instance_id& aPeer, const service_id& aService) const;

private:
  using key = std::pair<instance_id, service_id>;

  void Expire(instant aNow);

  std::map<key, std::deque<instant>> mRelays; // oldest first
  std::map<instance_id, instant> mRefusals;
  std::map<key, received_credit> mCredits;
  instant mLastExpiry{};
};

} // namespace laburnumdyke
