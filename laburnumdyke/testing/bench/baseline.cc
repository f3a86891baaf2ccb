// Turns are kept by service at each entry instance; nothing is learned from
// what upstreams do. A timer, a share of the deadline, starts each retry while
// the attempt before goes on.
#include "laburnumdyke/testing/bench/baseline.h"

namespace laburnumdyke::bench {

baseline_steering::baseline_steering(world& aWorld)
  : mWorld(aWorld)
{
  const deployment& deployment = aWorld.Deployment();
  for (const domain_id& domain : deployment.Domains()) {
    for (std::uint32_t i = 0; i < deployment.mEntriesPerDomain; ++i) {
      entry made;
      made.mDomain = domain;
      mEntries.push_back(made);
    }
  }
  if (aWorld.Scenario().mFreeze) {
    mEntries[0].mFrozenFrom = aWorld.Now() + kMeasureFrom;
    mEntries[0].mFrozenUntil = mEntries[0].mFrozenFrom + kFreeze;
  }
}

void
baseline_steering::OnEntry(std::size_t aEntry, event_queue::action aAction)
{
  const entry& self = mEntries.at(aEntry);
  instant now = mWorld.Now();
  if (mWorld.Dead(self.mDomain)) {
    return;
  }
  bool frozen = now >= self.mFrozenFrom && now < self.mFrozenUntil;
  mWorld.Events().At(frozen ? self.mFrozenUntil : now, std::move(aAction));
}

void
baseline_steering::Arrive(std::size_t aRequest)
{
  const bench_request& request = mWorld.Request(aRequest);
  std::size_t perDomain = mWorld.Deployment().mEntriesPerDomain;
  std::size_t first = 0;
  while (mEntries.at(first).mDomain != request.mDomain) {
    first += perDomain;
  }
  std::shared_ptr<exchange> made = std::make_shared<exchange>();
  made->mRequest = aRequest;
  made->mEntry = first + mNextEntry[request.mDomain]++ % perDomain;
  OnEntry(made->mEntry, [this, made]() { Attempt(made); });
}

void
baseline_steering::Attempt(const std::shared_ptr<exchange>& aExchange)
{
  bench_request& request = mWorld.Request(aExchange->mRequest);
  if (aExchange->mDone || request.mSettled ||
      aExchange->mAttempts == kAttempts) {
    return;
  }
  mWorld.Figures().mRetries += aExchange->mAttempts > 0 ? 1 : 0;
  ++aExchange->mAttempts;
  entry& self = mEntries.at(aExchange->mEntry);
  std::vector<std::pair<upstream_id, domain_id>> live;
  for (const std::pair<const upstream_id, upstream_spec>& one :
       mWorld.Document().mUpstreams) {
    if (one.second.mService == request.mService &&
        one.second.mState == upstream_state::Serving &&
        !mWorld.ListedDead(one.second.mDomain)) {
      live.emplace_back(one.first, one.second.mDomain);
    }
  }
  const std::pair<upstream_id, domain_id>& picked =
    live.at(self.mTurns[request.mService]++ % live.size());
  duration delay = mWorld.Deployment().Delay(self.mDomain, picked.second);
  mWorld.Send(self.mDomain,
              picked.first,
              aExchange->mRequest,
              delay,
              false,
              [this, aExchange](attempt_result) {
                OnEntry(aExchange->mEntry, [this, aExchange]() {
                  if (!aExchange->mDone) {
                    aExchange->mDone = true;
                    mWorld.Settle(aExchange->mRequest,
                                  outcome_kind::Answered,
                                  refusal_reason::None);
                  }
                });
              });
  duration patience = (request.mDeadline - request.mSent) / kAttempts;
  mWorld.Events().After(patience, [this, aExchange]() {
    OnEntry(aExchange->mEntry, [this, aExchange]() { Attempt(aExchange); });
  });
}

} // namespace laburnumdyke::bench
