// The steps are those of the request pipeline, without its input and output:
// limit, route, admit, dispatch, settle. A frozen instance does nothing; what
// reaches it meanwhile is handled in order when it wakes.
#include "laburnumdyke/testing/bench/steered.h"

namespace laburnumdyke::bench {

template<queue_order Order>
steered<Order>::steered(world& aWorld)
  : mWorld(aWorld)
{
  std::uint32_t index = 0;
  for (const domain_id& domain : aWorld.Deployment().Domains()) {
    for (std::uint32_t i = 0; i < aWorld.Deployment().mEntriesPerDomain; ++i) {
      AddEntry(domain, index++);
    }
  }
  std::vector<domain_id> domains;
  for (const std::unique_ptr<entry>& one : mEntries) {
    domains.push_back(one->mSelf.mDomain);
  }
  mQuotas = std::make_unique<customer_quotas>(aWorld, std::move(domains));
  if (aWorld.Scenario().mFreeze) {
    mEntries[0]->mFrozenFrom = aWorld.Now() + kMeasureFrom;
    mEntries[0]->mFrozenUntil = mEntries[0]->mFrozenFrom + kFreeze;
  }
}

template<queue_order Order>
void
steered<Order>::AddEntry(const domain_id& aDomain, std::uint32_t aIndex)
{
  std::unique_ptr<entry> made = std::make_unique<entry>();
  made->mIndex = aIndex;
  made->mSelf.mInstance.mValue = "entry-" + std::to_string(aIndex);
  made->mSelf.mIncarnation = 1;
  made->mSelf.mDomain = aDomain;
  made->mSelf.mRegion = mWorld.Deployment().RegionOf(aDomain);
  made->mMembership.Open(made->mSelf, {});
  made->mAdmission.Open({ .mSeed = aIndex + 1 });
  made->mRouter = router(two_choices{ std::mt19937_64(aIndex + 1) });
  entry* self = made.get();
  mEntries.push_back(std::move(made));
  // Heartbeats are spread over the period, as those of real instances are.
  std::chrono::milliseconds offset =
    kHeartbeatStep * aIndex % membership::kPeriod;
  mWorld.Events().After(offset, [this, self]() { TickMembership(*self); });
  mWorld.Events().After(offset, [this, self]() { ReadReports(*self); });
}

template<queue_order Order>
void
steered<Order>::OnEntry(entry& aEntry, event_queue::action aAction)
{
  instant now = mWorld.Now();
  if (mWorld.Dead(aEntry.mSelf.mDomain)) {
    return;
  }
  bool frozen = now >= aEntry.mFrozenFrom && now < aEntry.mFrozenUntil;
  if (frozen) {
    mWorld.Events().At(aEntry.mFrozenUntil, std::move(aAction));
  } else {
    aAction();
  }
}

template<queue_order Order>
typename steered<Order>::entry&
steered<Order>::Find(const instance_id& aInstance)
{
  return **std::find_if(mEntries.begin(),
                        mEntries.end(),
                        [&](const std::unique_ptr<entry>& aEntry) {
                          return aEntry->mSelf.mInstance == aInstance;
                        });
}

template<queue_order Order>
duration
steered<Order>::Delay(const entry& aFrom, const entry& aTo) const
{
  return mWorld.Deployment().Delay(aFrom.mSelf.mDomain, aTo.mSelf.mDomain);
}

template<queue_order Order>
bool
steered<Order>::Reaches(const entry& aFrom, const entry& aTo) const
{
  return mWorld.Reaches(aFrom.mSelf.mDomain, aTo.mSelf.mDomain);
}

template<queue_order Order>
void
steered<Order>::CountQueued(const entry& aEntry, const service_id& aService)
{
  figures& figures = mWorld.Figures();
  ++figures.mQueued;
  std::optional<std::size_t> nearest;
  for (const std::unique_ptr<entry>& one : mEntries) {
    if (one.get() == &aEntry || !Reaches(aEntry, *one)) {
      continue;
    }
    std::vector<service_credit> credits = one->mAdmission.Credits(mWorld.Now());
    const service_credit* credit = FindCredit(credits, aService);
    if (credit != nullptr && credit->mFree > 0) {
      std::size_t distance = one->mSelf.mDomain == aEntry.mSelf.mDomain   ? 0
                             : one->mSelf.mRegion == aEntry.mSelf.mRegion ? 1
                                                                          : 2;
      nearest = std::min(nearest.value_or(distance), distance);
    }
  }
  if (nearest) {
    ++figures.mQueuedBeside.at(*nearest);
  }
}

// The live view of an instance is copied once in a while rather than for each
// request.
template<queue_order Order>
const std::vector<peer>&
steered<Order>::Peers(entry& aEntry)
{
  instant now = mWorld.Now();
  if (now - aEntry.mPeersAt >= kPeersPeriod) {
    aEntry.mPeers = aEntry.mMembership.Live(now);
    aEntry.mPeersAt = now;
  }
  return aEntry.mPeers;
}

template<queue_order Order>
void
steered<Order>::TickMembership(entry& aEntry)
{
  OnEntry(aEntry, [this, &aEntry]() {
    Announce(aEntry);
    Refresh(aEntry);
    mWorld.Events().After(membership::kPeriod,
                          [this, &aEntry]() { TickMembership(aEntry); });
  });
}

template<queue_order Order>
void
steered<Order>::Announce(entry& aEntry)
{
  std::shared_ptr<heartbeat> message =
    std::make_shared<heartbeat>(aEntry.mMembership.Compose(mWorld.Now()));
  message->mCredits = aEntry.mAdmission.Credits(mWorld.Now());
  for (std::unique_ptr<entry>& one : mEntries) {
    entry* other = one.get();
    if (other == &aEntry || !Reaches(aEntry, *other)) {
      continue;
    }
    mWorld.Events().After(Delay(aEntry, *other), [this, other, message]() {
      OnEntry(*other, [this, other, message]() {
        other->mMembership.ReceiveHeartbeat(*message, mWorld.Now());
        if (other->mMembership.TakeSendNow()) {
          Announce(*other);
          Refresh(*other);
        }
      });
    });
  }
}

template<queue_order Order>
void
steered<Order>::Refresh(entry& aEntry)
{
  instant now = mWorld.Now();
  const document& document = mWorld.Document();
  std::map<upstream_id, upstream_limits> terms;
  for (const std::pair<const upstream_id, upstream_spec>& one :
       document.mUpstreams) {
    if (one.second.mDomain == aEntry.mSelf.mDomain) {
      terms[one.first] = {
        one.second.mSlots, document.mServices.at(one.second.mService).mDeadline
      };
    }
  }
  std::vector<home_claim> claims =
    aEntry.mMembership.Lease().UpdateClaims(terms, now);
  Deliver(aEntry, aEntry.mAdmission.Configure(document, claims, now));
  Deliver(aEntry, aEntry.mAdmission.Tick(now));
}

template<queue_order Order>
void
steered<Order>::DocumentChanged()
{
  for (std::unique_ptr<entry>& one : mEntries) {
    entry* self = one.get();
    OnEntry(*self, [this, self]() { Refresh(*self); });
  }
}

template<queue_order Order>
void
steered<Order>::ReadReports(entry& aEntry)
{
  mWorld.Events().After(kReportPeriod,
                        [this, &aEntry]() { ReadReports(aEntry); });
  if (!mWorld.Scenario().mReports) {
    return;
  }
  for (const std::pair<const upstream_id, upstream_spec>& one :
       mWorld.Document().mUpstreams) {
    if (one.second.mDomain != aEntry.mSelf.mDomain) {
      continue;
    }
    upstream_id name = one.first;
    std::uint32_t busy = mWorld.Busy(name);
    mWorld.Events().After(
      mWorld.Scenario().mReportLag, [this, &aEntry, name, busy]() {
        OnEntry(aEntry, [this, &aEntry, name, busy]() {
          aEntry.mAdmission.Report(name, busy, mWorld.Now());
        });
      });
  }
}

template<queue_order Order>
void
steered<Order>::Arrive(std::size_t aRequest)
{
  const bench_request& request = mWorld.Request(aRequest);
  std::size_t perDomain = mWorld.Deployment().mEntriesPerDomain;
  std::size_t first = 0;
  while (mEntries.at(first)->mSelf.mDomain != request.mDomain) {
    first += perDomain;
  }
  exchange_ptr made = std::make_shared<exchange>();
  made->mRequest = aRequest;
  made->mEntry =
    mEntries.at(first + mNextEntry[request.mDomain]++ % perDomain).get();
  OnEntry(*made->mEntry, [this, made]() {
    bench_request& arrived = mWorld.Request(made->mRequest);
    if (arrived.mSettled) {
      return; // the caller is gone
    }
    if (!mQuotas->Admit(made->mEntry->mIndex, arrived.mCustomer)) {
      mWorld.Settle(
        made->mRequest, outcome_kind::NotRun, refusal_reason::QuotaExceeded);
      return;
    }
    refusal_reason reason =
      made->mEntry->mAdmission.Limit().Enter(arrived.mRank, 0, mWorld.Now());
    if (reason != refusal_reason::None) {
      mWorld.Settle(made->mRequest, outcome_kind::NotRun, reason);
      return;
    }
    mWorld.Events().At(arrived.mDeadline, [this, made]() {
      OnEntry(*made->mEntry, [this, made]() {
        Close(made, { outcome_kind::Unknown, refusal_reason::UpstreamTimeout });
      });
    });
    Attempt(made);
  });
}

template<queue_order Order>
void
steered<Order>::Attempt(const exchange_ptr& aExchange)
{
  entry& self = *aExchange->mEntry;
  const bench_request& request = mWorld.Request(aExchange->mRequest);
  instant now = mWorld.Now();
  std::vector<service_credit> own = self.mAdmission.Credits(now);
  route_request asked{
    request.mService, self.mSelf, own, Peers(self), aExchange->mTried
  };
  route next = self.mRouter.Choose(asked, now);
  switch (next.mStep) {
    case route_step::Here:
      aExchange->mTried.insert(self.mSelf.mInstance);
      RunHere(self, aExchange->mRequest, [this, aExchange](attempt_end aEnd) {
        AfterAttempt(aExchange, aEnd, false);
      });
      return;
    case route_step::Relay:
      aExchange->mTried.insert(next.mTarget.mInstance);
      Relay(aExchange, next.mTarget);
      return;
    case route_step::Refuse:
      Close(aExchange, { outcome_kind::NotRun, next.mReason });
      return;
  }
}

template<queue_order Order>
void
steered<Order>::Relay(const exchange_ptr& aExchange,
                      const relay_target& aTarget)
{
  entry& home = Find(aTarget.mInstance);
  duration delay = Delay(*aExchange->mEntry, home);
  ++mWorld.Figures().mRelays;
  if (!Reaches(*aExchange->mEntry, home)) {
    mWorld.Events().After(kConnectTimeout, [this, aExchange]() {
      OnEntry(*aExchange->mEntry, [this, aExchange]() {
        attempt_end failed{ outcome_kind::NotRun,
                            refusal_reason::RelayConnect };
        AfterAttempt(aExchange, failed, true);
      });
    });
    return;
  }
  on_end back = [this, aExchange, &home, delay](attempt_end aEnd) {
    aEnd.mHome = home.mSelf.mInstance;
    aEnd.mCredits = home.mAdmission.Credits(mWorld.Now());
    bool refused = aEnd.mOutcome == outcome_kind::NotRun;
    mWorld.Figures().mRelaysRefused += refused ? 1 : 0;
    if (!Reaches(home, *aExchange->mEntry)) {
      return; // the deadline closes the exchange
    }
    mWorld.Events().After(delay, [this, aExchange, aEnd]() {
      OnEntry(*aExchange->mEntry, [this, aExchange, aEnd]() {
        AfterAttempt(aExchange, aEnd, true);
      });
    });
  };
  mWorld.Events().After(delay, [this, aExchange, &home, back]() {
    OnEntry(home, [this, aExchange, &home, back]() {
      const bench_request& request = mWorld.Request(aExchange->mRequest);
      if (request.mDeadline <= mWorld.Now()) {
        back({ outcome_kind::NotRun, refusal_reason::DeadlinePassed });
        return;
      }
      work_rank rank = request.mRank;
      refusal_reason reason =
        home.mAdmission.Limit().Enter(rank, 0, mWorld.Now());
      if (reason != refusal_reason::None) {
        back({ outcome_kind::NotRun, reason });
        return;
      }
      RunHere(home, aExchange->mRequest, [&home, rank, back](attempt_end aEnd) {
        home.mAdmission.Limit().Leave(rank, 0);
        back(aEnd);
      });
    });
  });
}

template<queue_order Order>
void
steered<Order>::AfterAttempt(const exchange_ptr& aExchange,
                             attempt_end aEnd,
                             bool aRelayed)
{
  entry& self = *aExchange->mEntry;
  instant now = mWorld.Now();
  self.mRouter.UpdateCredits(aEnd.mHome, aEnd.mCredits, now);
  bool again = aRelayed && aEnd.mOutcome == outcome_kind::NotRun &&
               !aExchange->mSettled &&
               now < mWorld.Request(aExchange->mRequest).mDeadline;
  if (again && self.mBudget.TakeRetry(now)) {
    ++mWorld.Figures().mRetries;
    Attempt(aExchange);
    return;
  }
  if (aEnd.mOutcome == outcome_kind::Answered) {
    self.mBudget.CountSuccess(now);
  }
  Close(aExchange, aEnd);
}

template<queue_order Order>
void
steered<Order>::Close(const exchange_ptr& aExchange, attempt_end aEnd)
{
  if (aExchange->mSettled) {
    return;
  }
  aExchange->mSettled = true;
  work_rank rank = mWorld.Request(aExchange->mRequest).mRank;
  aExchange->mEntry->mAdmission.Limit().Leave(rank, 0);
  mWorld.Settle(aExchange->mRequest, aEnd.mOutcome, aEnd.mReason);
}

template<queue_order Order>
void
steered<Order>::RunHere(entry& aEntry, std::size_t aRequest, on_end aEnd)
{
  const bench_request& request = mWorld.Request(aRequest);
  admission_request asked{
    ++aEntry.mNumber, request.mService, request.mRank, request.mDeadline
  };
  admission_answer answer = aEntry.mAdmission.RequestSlot(asked, mWorld.Now());
  switch (answer.mStep) {
    case admission_step::Granted:
      Dispatch(aEntry, answer.mGrant, { aRequest, std::move(aEnd) });
      break;
    case admission_step::Queued:
      aEntry.mWaiters[asked.mNumber] = { aRequest, std::move(aEnd) };
      CountQueued(aEntry, request.mService);
      break;
    case admission_step::Refused:
      aEnd({ outcome_kind::NotRun, answer.mReason });
      break;
  }
  Deliver(aEntry, answer.mOthers);
}

template<queue_order Order>
void
steered<Order>::Deliver(entry& aEntry, const admission_changes& aChanges)
{
  for (const queue_refusal& refused : aChanges.mRefusals) {
    waiter told = aEntry.mWaiters.extract(refused.mNumber).mapped();
    told.mEnd({ outcome_kind::NotRun, refused.mReason });
  }
  for (const grant& granted : aChanges.mGrants) {
    waiter told = aEntry.mWaiters.extract(granted.mNumber).mapped();
    Dispatch(aEntry, granted, std::move(told));
  }
}

template<queue_order Order>
void
steered<Order>::Dispatch(entry& aEntry, const grant& aGrant, waiter aWaiter)
{
  instant now = mWorld.Now();
  request_number number = aGrant.mNumber;
  instant deadline = mWorld.Request(aWaiter.mRequest).mDeadline;
  if (!aEntry.mMembership.Lease().BeginDispatch(
        aGrant.mUpstream, number, deadline, now)) {
    Deliver(aEntry,
            aEntry.mAdmission.Release(number, attempt_result::Abandoned, now));
    aWaiter.mEnd({ outcome_kind::NotRun, refusal_reason::LeaseLapsed });
    return;
  }
  domain_id domain = mWorld.Document().mUpstreams.at(aGrant.mUpstream).mDomain;
  duration delay = mWorld.Deployment().Delay(aEntry.mSelf.mDomain, domain);
  on_end end = aWaiter.mEnd;
  mWorld.Send(
    aEntry.mSelf.mDomain,
    aGrant.mUpstream,
    aWaiter.mRequest,
    delay,
    true,
    [this, &aEntry, number, end](attempt_result aResult) {
      OnEntry(aEntry, [this, &aEntry, number, end, aResult]() {
        aEntry.mMembership.Lease().EndDispatch(number);
        Deliver(aEntry,
                aEntry.mAdmission.Release(number, aResult, mWorld.Now()));
        bool answered = aResult == attempt_result::Answered;
        end(answered
              ? attempt_end{ outcome_kind::Answered, refusal_reason::None }
              : attempt_end{ outcome_kind::Unknown,
                             refusal_reason::UpstreamTimeout });
      });
    });
}

template class steered<earliest_deadline_first>;
template class steered<first_in_first_out>;
template class steered<last_in_first_out>;

} // namespace laburnumdyke::bench
