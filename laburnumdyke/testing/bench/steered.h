// The system itself: the decisions of every entry instance, joined by delays
// in place of the network.
#pragma once

#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/decision/retry_budget.h"
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/testing/bench/customer_quotas.h"
#include "laburnumdyke/testing/bench/world.h"

#include <memory>
#include <optional>
#include <set>

namespace laburnumdyke::bench {

template<queue_order Order>
class steered
{
public:
  explicit steered(world& aWorld);

  void Arrive(std::size_t aRequest);
  void DocumentChanged();

private:
  struct attempt_end
  {
    outcome_kind mOutcome = outcome_kind::NotRun;
    refusal_reason mReason = refusal_reason::None;
    // What a relay's answer carries of the instance that ran it.
    instance_id mHome{};
    std::vector<service_credit> mCredits{};
  };

  using on_end = std::function<void(attempt_end)>;

  struct waiter
  {
    std::size_t mRequest = 0;
    on_end mEnd;
  };

  struct entry
  {
    std::size_t mIndex = 0;
    member mSelf;
    membership mMembership;
    std::vector<peer> mPeers; // as of mPeersAt; adverts carry their own age
    instant mPeersAt{};
    basic_admission<Order> mAdmission;
    retry_budget mBudget;
    router mRouter;
    std::map<request_number, waiter> mWaiters;
    request_number mNumber = 0;
    instant mFrozenFrom = instant::max();
    instant mFrozenUntil{};
  };

  // One request at the entry instance that its caller asked.
  struct exchange
  {
    std::size_t mRequest = 0;
    entry* mEntry = nullptr;
    std::set<instance_id> mTried;
    bool mSettled = false;
  };

  using exchange_ptr = std::shared_ptr<exchange>;

  static constexpr std::chrono::milliseconds kReportPeriod{ 1000 };
  static constexpr std::chrono::milliseconds kPeersPeriod{ 10 };
  static constexpr std::chrono::milliseconds kHeartbeatStep{ 7 };
  static constexpr std::chrono::milliseconds kConnectTimeout{ 250 };

  void AddEntry(const domain_id& aDomain, std::uint32_t aIndex);
  void OnEntry(entry& aEntry, event_queue::action aAction);
  void TickMembership(entry& aEntry);
  void Announce(entry& aEntry);
  void Refresh(entry& aEntry);
  void ReadReports(entry& aEntry);
  void Attempt(const exchange_ptr& aExchange);
  void Relay(const exchange_ptr& aExchange, const relay_target& aTarget);
  void AfterAttempt(const exchange_ptr& aExchange,
                    attempt_end aEnd,
                    bool aRelayed);
  void Close(const exchange_ptr& aExchange, attempt_end aEnd);
  void RunHere(entry& aEntry, std::size_t aRequest, on_end aEnd);
  void Dispatch(entry& aEntry, const grant& aGrant, waiter aWaiter);
  void Deliver(entry& aEntry, const admission_changes& aChanges);
  entry& Find(const instance_id& aInstance);
  duration Delay(const entry& aFrom, const entry& aTo) const;
  bool Reaches(const entry& aFrom, const entry& aTo) const;
  void CountQueued(const entry& aEntry, const service_id& aService);
  const std::vector<peer>& Peers(entry& aEntry);

  world& mWorld;
  std::vector<std::unique_ptr<entry>> mEntries;
  std::unique_ptr<customer_quotas> mQuotas;
  std::map<domain_id, std::size_t> mNextEntry;
};

extern template class steered<earliest_deadline_first>;
extern template class steered<first_in_first_out>;
extern template class steered<last_in_first_out>;

} // namespace laburnumdyke::bench
