// The system to compare with: every entry instance alone, round robin over all
// live upstreams, no bound on what waits, and blind retries on a timer.
#pragma once

#include "laburnumdyke/testing/bench/world.h"

#include <memory>

namespace laburnumdyke::bench {

class baseline_steering
{
public:
  explicit baseline_steering(world& aWorld);

  void Arrive(std::size_t aRequest);
  void DocumentChanged() {}

private:
  static constexpr int kAttempts = 3;

  // The turns of one entry instance, by service.
  struct entry
  {
    domain_id mDomain;
    instant mFrozenFrom = instant::max();
    instant mFrozenUntil{};
    std::map<service_id, std::size_t> mTurns;
  };

  struct exchange
  {
    std::size_t mRequest = 0;
    std::size_t mEntry = 0;
    int mAttempts = 0;
    bool mDone = false;
  };

  void Attempt(const std::shared_ptr<exchange>& aExchange);
  void OnEntry(std::size_t aEntry, event_queue::action aAction);

  world& mWorld;
  std::vector<entry> mEntries;
  std::map<domain_id, std::size_t> mNextEntry;
};

} // namespace laburnumdyke::bench
