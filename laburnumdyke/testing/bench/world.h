// What both systems under test share: requests, callers and upstreams.
//
// An upstream runs as many requests as it has slots and keeps the rest in a
// line of its own; each that finds no free slot counts as overshot. It gives
// work up at a deadline that it was told of.
#pragma once

#include "laburnumdyke/decision/admission.h"
#include "laburnumdyke/testing/bench/deployment.h"
#include "laburnumdyke/testing/bench/event_queue.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace laburnumdyke::bench {

struct bench_request
{
  service_id mService;
  work_rank mRank = work_rank::Urgent;
  domain_id mDomain; // where its caller's look-up leads
  instant mSent{};
  instant mDeadline{};
  duration mWork{};
  bool mIdempotent = true;
  std::size_t mCustomer = 0; // if the scenario has customers
  bool mMeasured = false;
  std::uint32_t mRuns = 0;
  bool mSettled = false; // the caller has its outcome, or gave up
  bool mToldNotRun = false;
};

struct rank_figures
{
  std::uint64_t mOffered = 0;
  std::uint64_t mServed = 0; // answered within the deadline
  std::vector<duration> mLatencies;

  // Sorts the latencies; zero where there are none.
  duration Quantile(double aShare);
};

struct customer_figures
{
  std::uint64_t mOffered = 0;
  std::uint64_t mServed = 0;    // answered within the deadline
  std::uint64_t mOverQuota = 0; // refused
  std::uint64_t mRefused = 0;   // for another reason
};

struct figures
{
  std::array<rank_figures, kRankCount> mRanks;
  std::vector<customer_figures> mCustomers; // as in the scenario
  std::uint64_t mOvershot = 0;
  std::uint64_t mDoubleRuns = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mRetries = 0;
  duration mWorked{};
  duration mWasted{}; // work whose answer came too late, or twice
  std::map<refusal_reason, std::uint64_t> mRefusals;
  std::uint64_t mRelays = 0;
  std::uint64_t mRelaysRefused = 0;
  // Requests that were queued, and those of them that a free slot of their
  // service could have served: in the failure domain, the region, elsewhere.
  std::uint64_t mQueued = 0;
  std::array<std::uint64_t, 3> mQueuedBeside{};
};

class world
{
public:
  using on_result = std::function<void(attempt_result)>;

  world(const deployment& aDeployment,
        const scenario& aScenario,
        std::uint64_t aSeed,
        std::chrono::seconds aLength);

  event_queue& Events() { return mEvents; }
  instant Now() const { return mEvents.Now(); }
  const deployment& Deployment() const { return mDeployment; }
  const scenario& Scenario() const { return mScenario; }
  const document& Document() const { return mDocument; }
  // Requests a second of all customers together, as usual.
  double UsualRate() const;
  bench_request& Request(std::size_t aIndex) { return mRequests.at(aIndex); }
  figures& Figures() { return mFigures; }
  std::uint32_t Busy(const upstream_id& aUpstream) const;
  bool Dead(const domain_id& aDomain) const;
  // Dead for long enough that the platform's list says so.
  bool ListedDead(const domain_id& aDomain) const;
  // Whether what is sent now arrives.
  bool Reaches(const domain_id& aFrom, const domain_id& aTo) const;

  // Makes all arrivals and faults, runs them and returns the figures.
  // aArrive is called when a request reaches its failure domain.
  void Run(std::function<void(std::size_t)> aArrive,
           std::function<void()> aDocumentChanged);

  // Sends a request to an upstream; aDone is called when its answer is back.
  void Send(const domain_id& aFrom,
            const upstream_id& aUpstream,
            std::size_t aRequest,
            duration aDelay,
            bool aTellDeadline,
            on_result aDone);

  // Brings a caller its outcome.
  void Settle(std::size_t aRequest, outcome_kind aOutcome, refusal_reason aWhy);

private:
  struct visit
  {
    std::size_t mRequest = 0;
    domain_id mFrom;
    duration mDelay{};
    bool mTellDeadline = false;
    on_result mDone;
  };

  struct upstream_model
  {
    domain_id mDomain;
    std::uint32_t mSlots = 0;
    std::uint32_t mBusy = 0;
    instant mColdSince{};
    bool mCold = false;
    std::deque<visit> mLine;
  };

  void AddArrivals(std::size_t aLoad,
                   std::chrono::seconds aLength,
                   std::uint64_t aSeed);
  // Adds what hot customers send beyond their usual.
  void AddHotArrivals(std::size_t aLoad,
                      std::chrono::seconds aLength,
                      std::uint64_t aSeed);
  double RateOf(std::size_t aLoad) const;
  void AddRequest(std::size_t aLoad,
                  duration aAt,
                  std::size_t aCustomer,
                  std::mt19937_64& aRandom);
  void CountSettled(const bench_request& aRequest,
                    outcome_kind aOutcome,
                    refusal_reason aWhy);
  domain_id CallerDomain(std::uint64_t aRandom, duration aAt) const;
  bool InFaultyRegion(const domain_id& aDomain) const;
  void AddFaults();
  void ComeBackCold();
  void Begin(upstream_model& aUpstream, visit aVisit);
  void End(upstream_model& aUpstream, const visit& aVisit, bool aWhole);
  double ColdFactor(const upstream_model& aUpstream) const;

  deployment mDeployment;
  scenario mScenario;
  std::chrono::seconds mLength;
  event_queue mEvents;
  instant mStart;
  document mDocument;
  std::deque<bench_request> mRequests;
  std::map<upstream_id, upstream_model> mUpstreams;
  std::function<void(std::size_t)> mArrive;
  std::function<void()> mDocumentChanged;
  figures mFigures;
};

} // namespace laburnumdyke::bench
