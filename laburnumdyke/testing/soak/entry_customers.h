// Keys and quotas in an entry instance of the randomised run: the checks of a
// customer's request, and what the instance learns from the store and from its
// peers to make them.
//
//   gate -> quota -> wait -> gate -> run
//
// The order of the calls is that of steered_pipeline, platform_watch,
// fleet_link and usage_exchange.
#pragma once

#include "laburnumdyke/decision/customer_gate.h"
#include "laburnumdyke/decision/customer_usage.h"
#include "laburnumdyke/decision/fleet_quota.h"
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/testing/soak/soak_world.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

struct customer_request
{
  std::size_t mCustomer = 0; // who the caller is
  std::string mKey;
};

struct customer_answer
{
  refusal_reason mRefusal = refusal_reason::None;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

// The sum of a failure domain or the totals of the fleet.
struct soak_usage
{
  std::size_t mDomain = 0;
  usage_list mUsage;
};

class entry_customers
{
public:
  using callback = std::function<void(const customer_answer&)>;

  entry_customers(soak_world aWorld, process_address aAddress);

  // Begins heartbeats, readings and reports.
  void Start();
  void BeginLeaving() { mFleet.BeginLeaving(); }

  void Receive(const customer_request& aRequest, const callback& aAnswer);

  void ReceiveHeartbeat(const fleet_heartbeat& aHeartbeat);
  void ReceiveReport(std::size_t aEntry, usage_list aUsage);
  void ReceiveSum(const soak_usage& aSum, bool aRelayed);
  void ReceiveTotals(const usage_list& aTotals);

  // The configuration in force; null until the first is read.
  const std::shared_ptr<const route_table>& Routes() const { return mRoutes; }

private:
  struct admitted_request
  {
    customer_request mRequest;
    customer_id mCustomer;
    instant mDeadline{};
    int mAttempts = 0;
    callback mAnswer;
  };

  instant Now() const { return mWorld.mSimulation.Now(); }
  boot_instant BootNow() const
  {
    return boot_instant(std::chrono::duration_cast<boot_instant::duration>(
      Now().time_since_epoch()));
  }
  std::size_t Domain() const { return DomainOfEntry(mAddress.mIndex); }
  void Later(duration aAfter, event_kind aKind, simulation::action aAction);
  // Runs the action in the process that listens at the endpoint, unless the
  // link is cut.
  void Send(const endpoint& aTo, std::function<void(entry_customers&)> aAction);

  gate_decision CheckKey(const customer_request& aRequest) const;
  void Attempt(admitted_request aRequest);
  void GiveUp(const admitted_request& aRequest, refusal_reason aReason);

  void WatchStore();
  void ReadStore();
  void TakeRoutes(const stamped_routes& aRead, boot_instant aSent);
  void PutInForce(const std::shared_ptr<const route_table>& aRoutes);
  void Register();
  void WatchPeers();
  void SendHeartbeats();
  void ExchangeUsage();
  void Collect(usage_list aOwn);

  soak_world mWorld;
  process_address mAddress;
  std::shared_ptr<const route_table> mRoutes;
  knowledge_age mAge;
  fleet_view mFleet;
  fleet_quota mQuota;
  usage_collector mCollector;
  std::optional<instant> mCollectorSince;
  std::optional<instant> mLastRead;
  std::uint64_t mCompositions = 0;
};

} // namespace laburnumdyke
