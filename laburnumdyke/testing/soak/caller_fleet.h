// The callers of the randomised run: they look entry instances up, keep the
// answers for their time to live, send requests and repeat them, through
// other instances and under the same identity, as docs/CALLERS.md asks.
#pragma once

#include "laburnumdyke/testing/soak/entry_instance.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace laburnumdyke {

struct service_outcomes
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
};

// When and how an entry instance last stopped taking part.
struct stop_record
{
  std::optional<instant> mSince; // nothing while it takes part
  bool mPlanned = false;
};

using stop_records = std::array<stop_record, kSoakEntries>;

class caller_fleet
{
public:
  caller_fleet(soak_world aWorld, const stop_records& aStops);

  void Start();
  // Multiplies the arrivals of a service.
  void SetLoad(std::size_t aService, double aFactor);

  const std::array<service_outcomes, kSoakServices>& Outcomes() const
  {
    return mOutcomes;
  }

private:
  struct cached_lookup
  {
    std::vector<std::size_t> mChoices; // entry instances
    process_address mAnsweredBy;
    instant mAnswered{};
  };

  struct pending
  {
    std::size_t mService = 0;
    std::size_t mCaller = 0;
    cached_lookup mLookup;
    std::optional<request_identity> mIdentity;
    std::uint32_t mAttempt = 0;
    std::size_t mAsked = 0;  // look-ups and identities asked for
    std::uint64_t mStep = 0; // voids the events of steps that have ended
    outcome_kind mLast = outcome_kind::NotRun;
  };

  using request_id = std::uint64_t;

  void NextArrival(std::size_t aService);
  void NewRequest(std::size_t aService);
  pending* InStep(request_id aId, std::uint64_t aStep);
  void AskLookup(request_id aId, pending& aOne);
  void TakeLookup(request_id aId, pending& aOne, cached_lookup aLookup);
  void AskIdentity(request_id aId, pending& aOne);
  void Send(request_id aId, pending& aOne);
  void ConnectionRefused(request_id aId, std::size_t aTarget);
  void Told(request_id aId,
            std::uint32_t aAttempt,
            std::uint64_t aStep,
            const attempt_end& aEnd);
  void Again(request_id aId, pending& aOne, outcome_kind aLast);
  void GiveUp(request_id aId, const pending& aOne);

  soak_world mWorld;
  const stop_records& mStops;
  std::array<double, kSoakServices> mLoad{};
  std::array<service_outcomes, kSoakServices> mOutcomes{};
  std::map<std::pair<std::size_t, std::size_t>, cached_lookup> mCache;
  std::unordered_map<request_id, pending> mPending;
  request_id mLastRequest = 0;
};

} // namespace laburnumdyke
