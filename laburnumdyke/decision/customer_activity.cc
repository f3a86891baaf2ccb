// The first kNamed customers get a place at once. From then on, every
// kRankInterval the least busy of them are compared with the busiest of the
// others, pair by pair, and give their places to those that are much busier.
#include "laburnumdyke/decision/customer_activity.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// Customers below this rate are forgotten, so that records of customers that
// have left the configuration don't accumulate.
constexpr double kMinRate = 0.001; // requests per second

} // namespace

customer_counts&
customer_counts::operator+=(const customer_counts& aOther)
{
  mRequests += aOther.mRequests;
  mRefusals += aOther.mRefusals;
  return *this;
}

customer_activity::record&
customer_activity::Find(const customer_id& aCustomer)
{
  record& found = mRecords[aCustomer];
  if (!found.mIsNamed && mNamedCount < kNamed) {
    found.mIsNamed = true;
    ++mNamedCount;
  }
  return found;
}

customer_counts&
customer_activity::CountsOf(record& aRecord)
{
  return aRecord.mIsNamed ? aRecord.mCounts : mOthers;
}

void
customer_activity::CountRequest(const customer_id& aCustomer, instant aNow)
{
  if (!mRanked) {
    mRanked = aNow;
  } else if (aNow - *mRanked >= kRankInterval) {
    mRanked = aNow;
    Rank(aNow);
  }
  record& found = Find(aCustomer);
  found.mRate.Add(aNow);
  ++CountsOf(found).mRequests;
}

void
customer_activity::CountRefusal(const customer_id& aCustomer)
{
  ++CountsOf(Find(aCustomer)).mRefusals;
}

double
customer_activity::RateOf(const customer_id& aCustomer, instant aNow) const
{
  auto found = mRecords.find(aCustomer);
  return found == mRecords.end() ? 0 : found->second.mRate.At(aNow);
}

void
customer_activity::Forget(instant aNow)
{
  std::erase_if(mRecords, [&](const record_entry& aOne) {
    return !aOne.second.mIsNamed && aOne.second.mRate.At(aNow) < kMinRate;
  });
}

void
customer_activity::Replace(record& aOld, record& aNew)
{
  mOthers += aOld.mCounts;
  aOld.mCounts = {};
  aOld.mIsNamed = false;
  aNew.mIsNamed = true;
}

void
customer_activity::Rank(instant aNow)
{
  Forget(aNow);
  std::vector<record*> named;  // the least busy first
  std::vector<record*> others; // the busiest first
  for (std::pair<const customer_id, record>& one : mRecords) {
    (one.second.mIsNamed ? named : others).push_back(&one.second);
  }
  auto isLessBusy = [&](const record* aOne, const record* aOther) {
    return aOne->mRate.At(aNow) < aOther->mRate.At(aNow);
  };
  std::sort(named.begin(), named.end(), isLessBusy);
  std::size_t candidates = std::min(named.size(), others.size());
  std::partial_sort(others.begin(),
                    others.begin() + static_cast<std::ptrdiff_t>(candidates),
                    others.end(),
                    [&](const record* aOne, const record* aOther) {
                      return isLessBusy(aOther, aOne);
                    });
  for (std::size_t i = 0; i < candidates; ++i) {
    double least = named[i]->mRate.At(aNow);
    if (others[i]->mRate.At(aNow) <= least * kReplaceFactor) {
      break;
    }
    Replace(*named[i], *others[i]);
  }
}

activity_report
customer_activity::Report(instant aNow) const
{
  activity_report report;
  for (const record_entry& one : mRecords) {
    if (one.second.mIsNamed) {
      report.mNamed.push_back(
        { one.first, one.second.mRate.At(aNow), one.second.mCounts });
    }
  }
  std::stable_sort(
    report.mNamed.begin(),
    report.mNamed.end(),
    [](const named_activity& aOne, const named_activity& aOther) {
      return aOne.mRate > aOther.mRate;
    });
  report.mOthers = mOthers;
  return report;
}

} // namespace laburnumdyke
