// Each service draws its arrivals from its own generator, so that a flood of
// one kind leaves the others' arrivals as they are without it and the two runs
// can be compared request by request.
#include "laburnumdyke/testing/bench/world.h"

#include <algorithm>

namespace laburnumdyke::bench {

namespace {

// Share of the one pool's load that each rank asks for.
constexpr std::array<double, kRankCount> kOnePoolShare = { 0.5, 0.35, 0.15 };

// Keeps the generators of hot customers apart from those of the services.
constexpr std::uint64_t kHotSeed = 1000003;

duration
Scale(duration aTime, double aFactor)
{
  return std::chrono::duration_cast<duration>(aTime * aFactor);
}

} // namespace

duration
rank_figures::Quantile(double aShare)
{
  if (mLatencies.empty()) {
    return duration::zero();
  }
  std::sort(mLatencies.begin(), mLatencies.end());
  std::size_t index = static_cast<std::size_t>(
    aShare * static_cast<double>(mLatencies.size() - 1));
  return mLatencies.at(index);
}

world::world(const deployment& aDeployment,
             const scenario& aScenario,
             std::uint64_t aSeed,
             std::chrono::seconds aLength)
  : mDeployment(aDeployment)
  , mScenario(aScenario)
  , mLength(aLength)
  , mStart(mEvents.Now())
  , mDocument(aDeployment.Document())
{
  for (const std::pair<const upstream_id, upstream_spec>& entry :
       mDocument.mUpstreams) {
    mUpstreams[entry.first].mSlots = entry.second.mSlots;
    mUpstreams[entry.first].mDomain = entry.second.mDomain;
  }
  mFigures.mCustomers.resize(mScenario.mCustomers.size());
  for (std::size_t i = 0; i < kRankCount; ++i) {
    AddArrivals(i, aLength, aSeed * kRankCount + i);
    AddHotArrivals(i, aLength, aSeed * kRankCount + i);
  }
  AddFaults();
}

double
world::RateOf(std::size_t aLoad) const
{
  const service_load& own = mDeployment.mLoads.at(aLoad);
  const service_load& asked = mScenario.mOnePool ? mDeployment.mLoads[0] : own;
  double share = mScenario.mOnePool ? kOnePoolShare.at(aLoad) : 1;
  return asked.Capacity() * mScenario.mLoad * share *
         mScenario.mFlood.at(aLoad);
}

double
world::UsualRate() const
{
  double rate = 0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    rate += RateOf(i);
  }
  return rate;
}

void
world::AddArrivals(std::size_t aLoad,
                   std::chrono::seconds aLength,
                   std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> gap(RateOf(aLoad));
  // Customers are drawn apart, so that arrivals are the same without them.
  std::mt19937_64 randomCustomer(~aSeed);
  std::vector<double> shares;
  for (const bench_customer& one : mScenario.mCustomers) {
    shares.push_back(one.mShare);
  }
  std::discrete_distribution<std::size_t> customer(shares.begin(),
                                                   shares.end());
  duration at{ 0 };
  while (true) {
    double factor = mScenario.mHalfCold && at < kMeasureFrom ? 2 : 1;
    at += std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(gap(random) * factor));
    if (at >= aLength) {
      return;
    }
    AddRequest(aLoad, at, customer(randomCustomer), random);
  }
}

void
world::AddHotArrivals(std::size_t aLoad,
                      std::chrono::seconds aLength,
                      std::uint64_t aSeed)
{
  for (std::size_t i = 0; i < mScenario.mCustomers.size(); ++i) {
    const bench_customer& one = mScenario.mCustomers[i];
    if (one.mHot <= 1) {
      continue;
    }
    std::mt19937_64 random(aSeed + kHotSeed * (i + 1));
    std::exponential_distribution<double> gap(RateOf(aLoad) * one.mShare *
                                              (one.mHot - 1));
    duration at = kMeasureFrom;
    while (true) {
      at += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(random)));
      if (at >= aLength) {
        break;
      }
      AddRequest(aLoad, at, i, random);
    }
  }
}

void
world::AddRequest(std::size_t aLoad,
                  duration aAt,
                  std::size_t aCustomer,
                  std::mt19937_64& aRandom)
{
  const service_load& own = mDeployment.mLoads.at(aLoad);
  const service_load& asked = mScenario.mOnePool ? mDeployment.mLoads[0] : own;
  std::exponential_distribution<double> work(2);
  std::uniform_real_distribution<double> allowed(kShortestDeadline,
                                                 kLongestDeadline);
  bench_request request;
  request.mService = asked.mService;
  request.mRank = own.mRank;
  request.mDomain = CallerDomain(aRandom(), aAt);
  request.mSent = mStart + aAt;
  // An entry clamps the deadline to that of the service asked for.
  request.mDeadline =
    request.mSent + std::min(Scale(own.mDeadline, allowed(aRandom)),
                             Scale(asked.mDeadline, kLongestDeadline));
  request.mWork = Scale(asked.mWork, 0.5 + work(aRandom));
  request.mIdempotent = asked.mIdempotent;
  request.mCustomer = aCustomer;
  request.mMeasured =
    aAt >= kMeasureFrom && request.mDeadline < mStart + mLength;
  std::size_t index = mRequests.size();
  mRequests.push_back(request);
  mEvents.At(request.mSent + mDeployment.mClientDelay,
             [this, index]() { mArrive(index); });
  mEvents.At(request.mDeadline,
             [this, index]() { mRequests[index].mSettled = true; });
  if (request.mMeasured) {
    ++mFigures.mRanks.at(static_cast<std::size_t>(own.mRank)).mOffered;
    if (!mFigures.mCustomers.empty()) {
      ++mFigures.mCustomers.at(aCustomer).mOffered;
    }
  }
}

bool
world::InFaultyRegion(const domain_id& aDomain) const
{
  return mDeployment.RegionOf(aDomain).mValue == mDeployment.mRegions.back();
}

bool
world::Dead(const domain_id& aDomain) const
{
  return mScenario.mRegionDead && Now() >= mStart + kMeasureFrom &&
         InFaultyRegion(aDomain);
}

bool
world::ListedDead(const domain_id& aDomain) const
{
  return Dead(aDomain) && Now() >= mStart + kMeasureFrom + kLookupTtl;
}

bool
world::Reaches(const domain_id& aFrom, const domain_id& aTo) const
{
  instant cutFrom = mStart + kMeasureFrom;
  bool cut = mScenario.mRegionCut && Now() >= cutFrom &&
             Now() < cutFrom + kCut &&
             InFaultyRegion(aFrom) != InFaultyRegion(aTo);
  return !cut && !Dead(aFrom) && !Dead(aTo);
}

// Look-ups lead away from a dead region, where there is another, once the
// answers given before have expired.
domain_id
world::CallerDomain(std::uint64_t aRandom, duration aAt) const
{
  std::vector<domain_id> domains = mDeployment.Domains();
  domain_id chosen = domains.at(aRandom % domains.size());
  std::size_t others = domains.size() - mDeployment.mDomainsPerRegion;
  bool leave = mScenario.mRegionDead && others > 0 &&
               aAt >= kMeasureFrom + kLookupTtl && InFaultyRegion(chosen);
  return leave ? domains.at(aRandom / domains.size() % others) : chosen;
}

void
world::AddFaults()
{
  if (!mScenario.mHalfCold) {
    return;
  }
  int index = 0;
  for (std::pair<const upstream_id, upstream_spec>& entry :
       mDocument.mUpstreams) {
    if (++index % 2 == 0) {
      entry.second.mState = upstream_state::Leaving;
    }
  }
  mEvents.At(mStart + kMeasureFrom, [this]() { ComeBackCold(); });
}

void
world::ComeBackCold()
{
  for (std::pair<const upstream_id, upstream_spec>& entry :
       mDocument.mUpstreams) {
    if (entry.second.mState == upstream_state::Leaving) {
      entry.second.mState = upstream_state::Serving;
      mUpstreams[entry.first].mCold = true;
      mUpstreams[entry.first].mColdSince = Now();
    }
  }
  mDocumentChanged();
}

void
world::Run(std::function<void(std::size_t)> aArrive,
           std::function<void()> aDocumentChanged)
{
  mArrive = std::move(aArrive);
  mDocumentChanged = std::move(aDocumentChanged);
  mEvents.RunUntil(mStart + mLength);
}

std::uint32_t
world::Busy(const upstream_id& aUpstream) const
{
  const upstream_model& upstream = mUpstreams.at(aUpstream);
  return upstream.mBusy + static_cast<std::uint32_t>(upstream.mLine.size());
}

void
world::Send(const domain_id& aFrom,
            const upstream_id& aUpstream,
            std::size_t aRequest,
            duration aDelay,
            bool aTellDeadline,
            on_result aDone)
{
  upstream_model& upstream = mUpstreams.at(aUpstream);
  visit arriving{ aRequest, aFrom, aDelay, aTellDeadline, std::move(aDone) };
  mEvents.After(aDelay, [this, &upstream, arriving]() {
    if (!Reaches(arriving.mFrom, upstream.mDomain)) {
      return;
    }
    if (upstream.mBusy < upstream.mSlots) {
      Begin(upstream, arriving);
    } else {
      ++mFigures.mOvershot;
      upstream.mLine.push_back(arriving);
    }
  });
}

double
world::ColdFactor(const upstream_model& aUpstream) const
{
  std::chrono::duration<double> warm = Now() - aUpstream.mColdSince;
  std::chrono::duration<double> span = kWarmUp;
  if (!aUpstream.mCold || warm >= span) {
    return 1;
  }
  return kColdFactor - (kColdFactor - 1) * (warm / span);
}

void
world::Begin(upstream_model& aUpstream, visit aVisit)
{
  bench_request& request = mRequests.at(aVisit.mRequest);
  ++aUpstream.mBusy;
  ++request.mRuns;
  mFigures.mDoubleRuns += !request.mIdempotent && request.mRuns == 2 ? 1 : 0;
  mFigures.mFalseNotRun += request.mToldNotRun ? 1 : 0;
  duration work = Scale(request.mWork, ColdFactor(aUpstream));
  // The deadline is told as the time left, so the way to here adds to it.
  duration left = request.mDeadline + aVisit.mDelay - Now();
  bool whole = !aVisit.mTellDeadline || work <= left;
  duration spent = whole ? work : std::max(left, duration::zero());
  bool late = Now() + spent > request.mDeadline;
  mFigures.mWorked += spent;
  if (late || request.mSettled || request.mRuns > 1) {
    mFigures.mWasted += spent;
  }
  mEvents.After(spent, [this, &aUpstream, aVisit, whole]() {
    End(aUpstream, aVisit, whole);
  });
}

void
world::End(upstream_model& aUpstream, const visit& aVisit, bool aWhole)
{
  --aUpstream.mBusy;
  on_result done = aVisit.mDone;
  if (Reaches(aVisit.mFrom, aUpstream.mDomain)) {
    mEvents.After(aVisit.mDelay, [done, aWhole]() {
      done(aWhole ? attempt_result::Answered : attempt_result::Abandoned);
    });
  }
  if (!aUpstream.mLine.empty()) {
    visit next = aUpstream.mLine.front();
    aUpstream.mLine.pop_front();
    Begin(aUpstream, next);
  }
}

void
world::CountSettled(const bench_request& aRequest,
                    outcome_kind aOutcome,
                    refusal_reason aWhy)
{
  if (mFigures.mCustomers.empty()) {
    return;
  }
  customer_figures& customer = mFigures.mCustomers.at(aRequest.mCustomer);
  if (aOutcome == outcome_kind::Answered) {
    ++customer.mServed;
  } else if (aWhy == refusal_reason::QuotaExceeded) {
    ++customer.mOverQuota;
  } else {
    ++customer.mRefused;
  }
}

void
world::Settle(std::size_t aRequest, outcome_kind aOutcome, refusal_reason aWhy)
{
  mEvents.After(mDeployment.mClientDelay, [this, aRequest, aOutcome, aWhy]() {
    bench_request& request = mRequests.at(aRequest);
    if (request.mSettled) {
      return;
    }
    request.mSettled = true;
    if (aOutcome == outcome_kind::NotRun) {
      request.mToldNotRun = true;
      mFigures.mFalseNotRun += request.mRuns > 0 ? 1 : 0;
    }
    if (!request.mMeasured) {
      return;
    }
    CountSettled(request, aOutcome, aWhy);
    if (aOutcome == outcome_kind::Answered) {
      rank_figures& rank =
        mFigures.mRanks.at(static_cast<std::size_t>(request.mRank));
      ++rank.mServed;
      rank.mLatencies.push_back(Now() - request.mSent);
    } else {
      ++mFigures.mRefusals[aWhy];
    }
  });
}

} // namespace laburnumdyke::bench
