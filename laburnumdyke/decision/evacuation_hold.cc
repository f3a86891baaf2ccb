// During a hold the table and the held set are kept side by side. A change of
// the table from one reading of the era to the next is a row written since the
// restore, so it changes the held set too.
#include "laburnumdyke/decision/evacuation_hold.h"

#include "laburnumdyke/decision/watch_state.h"

namespace laburnumdyke {

void
evacuation_hold::BeginHold(const std::set<domain_id>& aTableBefore,
                           instant aNow)
{
  if (!mHeldSince) {
    mHeld = aTableBefore;
  }
  mHeldSince = aNow;
  // An evacuation that was unknown is not one that has ended.
  for (const domain_id& domain : mTable) {
    if (mEnded.count(domain) == 0) {
      mHeld.insert(domain);
    }
  }
}

void
evacuation_hold::ChangeHeld(const std::set<domain_id>& aTableBefore,
                            const control_reading& aReading)
{
  for (const domain_id& domain : aTableBefore) {
    if (mTable.count(domain) == 0) {
      mHeld.erase(domain);
    }
  }
  for (const domain_id& domain : mTable) {
    if (aTableBefore.count(domain) == 0) {
      mHeld.insert(domain);
    }
  }
  if (!aReading.mHead.mIsSnapshot) {
    mHeld = ApplyEvacuations(mHeld, aReading);
  }
}

const std::set<domain_id>&
evacuation_hold::Apply(const control_reading& aReading,
                       bool aIsRestored,
                       std::uint64_t aConfiguration,
                       instant aNow)
{
  std::set<domain_id> before = mTable;
  mTable = ApplyEvacuations(before, aReading);
  if (aReading.mDocument) {
    mTableConfiguration = aReading.mDocument->mVersion;
  } else if (aReading.mHead.mIsSnapshot) {
    mTableConfiguration = 0;
  }
  if (aIsRestored) {
    BeginHold(before, aNow);
  } else if (mHeldSince) {
    ChangeHeld(before, aReading);
  }
  const std::set<domain_id>& inForce = Expire(aConfiguration, aNow);
  for (const domain_id& domain : before) {
    mEnded.insert(domain);
  }
  for (const domain_id& domain : inForce) {
    mEnded.erase(domain);
  }
  return inForce;
}

const std::set<domain_id>&
evacuation_hold::Expire(std::uint64_t aConfiguration, instant aNow)
{
  if (!mHeldSince) {
    return mTable;
  }
  bool isWritten = mTableConfiguration >= aConfiguration;
  std::chrono::milliseconds shortest = isWritten ? kMinHold : kMaxHold;
  if (aNow - *mHeldSince >= shortest) {
    mHeldSince.reset();
    mHeld.clear();
    return mTable;
  }
  return mHeld;
}

} // namespace laburnumdyke
