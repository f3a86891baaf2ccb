// What was wanted is counted between askings, also where it was not granted,
// so that the lender sees demand and not what it has allowed itself.
#include "laburnumdyke/decision/link_budget.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kNoLinkWait{ 1000 };
// From the first use of an idle direction to the lender's answer.
constexpr std::chrono::milliseconds kAnswerTime = 2 * kAskPeriod;
// What was wanted in the last period, with room to grow.
constexpr byte_rate kGrowth = 2;

double
Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

byte_rate
link_budget::direction_use::Rate(instant aNow) const
{
  return mReserve + (aNow < mLentUntil ? mLent : 0);
}

byte_rate
link_budget::direction_use::ExpectedRate(instant aNow) const
{
  bool unanswered = !mBusySince || aNow - *mBusySince < kAnswerTime;
  return unanswered ? mDomainRate : Rate(aNow);
}

void
link_budget::direction_use::Want(std::uint64_t aBytes, instant aNow)
{
  mWanted += aBytes;
  if (!mBusySince) {
    mBusySince = aNow;
  }
}

// A grant that has ended counts up to its end.
void
link_budget::direction_use::Advance(instant aNow)
{
  if (mLent > 0 && mLentUntil <= aNow) {
    mBuckets.SetRate(mReserve, mLentUntil);
    mLent = 0;
  }
}

void
link_budget::Configure(const document& aDocument,
                       const region_id& aRegion,
                       instant aNow)
{
  mUnlimited = aDocument.mLinks.empty();
  std::map<link_direction, direction_use> uses;
  for (const region_map::value_type& region : aDocument.mRegions) {
    link_direction direction{ aRegion, region.first };
    byte_rate rate = DomainRate(aDocument, direction).value_or(0);
    if (rate == 0 || region.first == aRegion) {
      continue;
    }
    direction_use& use = uses[direction];
    auto had = mUses.find(direction);
    if (had != mUses.end()) {
      use = had->second;
      use.Advance(aNow);
    } else {
      use.mWantedSince = aNow;
      use.mBuckets.SetRate(0, aNow); // starts without tokens
    }
    use.mDomainRate = rate;
    use.mReserve = ReserveRate(rate);
    use.mLent = std::min(use.mLent, rate);
    use.mBuckets.SetRate(use.Rate(aNow), aNow);
    use.mBuckets.Configure(aDocument.mRanks, aNow);
  }
  mUses = std::move(uses);
}

link_answer
link_budget::Take(const link_direction& aDirection,
                  work_rank aRank,
                  std::uint64_t aBytes,
                  instant aNow)
{
  if (mUnlimited || aDirection.mFrom == aDirection.mTo) {
    return { aBytes, {} };
  }
  auto found = mUses.find(aDirection);
  if (found == mUses.end()) {
    return { 0, kNoLinkWait };
  }
  direction_use& use = found->second;
  use.Advance(aNow);
  link_answer answer = use.mBuckets.Take(aRank, aBytes, aNow);
  // What was not granted is asked for again.
  use.Want(
    std::max(answer.mGranted, std::min<std::uint64_t>(aBytes, use.Rate(aNow))),
    aNow);
  return answer;
}

bool
link_budget::CanCarry(const link_direction& aDirection,
                      work_rank aRank,
                      std::uint64_t aBytes,
                      instant aDeadline,
                      instant aNow)
{
  if (mUnlimited || aDirection.mFrom == aDirection.mTo) {
    return true;
  }
  auto found = mUses.find(aDirection);
  if (found == mUses.end()) {
    return false;
  }
  direction_use& use = found->second;
  use.Advance(aNow);
  double percent = use.mBuckets.MostPercent(aRank, aNow);
  double rate = static_cast<double>(use.ExpectedRate(aNow)) * percent / 100;
  double left = Seconds(std::max(aDeadline - aNow, duration(0)));
  bool can = static_cast<double>(aBytes) <= rate * left;
  if (!can) {
    use.Want(std::min<std::uint64_t>(aBytes, use.mDomainRate), aNow);
  }
  return can;
}

rate_ask
link_budget::Ask(const link_direction& aDirection, instant aNow)
{
  auto found = mUses.find(aDirection);
  if (found == mUses.end()) {
    return {};
  }
  direction_use& use = found->second;
  double seconds = std::max(0.001, Seconds(aNow - use.mWantedSince));
  byte_rate wanted =
    static_cast<byte_rate>(static_cast<double>(use.mWanted) / seconds);
  if (use.mWanted == 0) {
    use.mBusySince.reset();
  }
  use.mWanted = 0;
  use.mWantedSince = aNow;
  return { wanted * kGrowth };
}

void
link_budget::Granted(const link_direction& aDirection,
                     const rate_grant& aGrant,
                     instant aAskedAt,
                     instant aNow)
{
  auto found = mUses.find(aDirection);
  if (found == mUses.end() || aAskedAt + aGrant.mLife <= aNow ||
      aAskedAt <= found->second.mAskedAt) {
    return;
  }
  direction_use& use = found->second;
  use.Advance(aNow);
  use.mAskedAt = aAskedAt;
  use.mLent = aGrant.mRate;
  use.mLentUntil = aAskedAt + aGrant.mLife;
  use.mBuckets.SetRate(use.Rate(aNow), aNow);
}

byte_rate
link_budget::Rate(const link_direction& aDirection, instant aNow) const
{
  auto found = mUses.find(aDirection);
  return found == mUses.end() ? 0 : found->second.Rate(aNow);
}

std::vector<link_direction>
link_budget::Directions() const
{
  std::vector<link_direction> directions;
  for (const std::pair<const link_direction, direction_use>& use : mUses) {
    directions.push_back(use.first);
  }
  return directions;
}

} // namespace laburnumdyke
