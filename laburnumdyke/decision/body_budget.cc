// All open bodies are examined when the budget is exhausted and only then; at
// 64 KB a block that is at most once per 64 KB received. Bytes of a dropped
// body stay counted until it is closed, so that memory never exceeds the
// budget.
#include "laburnumdyke/decision/body_budget.h"

#include <algorithm>
#include <utility>

namespace laburnumdyke {

holding_id
body_budget::Open(instant aNow)
{
  body opened;
  opened.mPaidUntil = aNow;
  opened.mQuickUntil = aNow;
  mBodies.emplace(mNext, opened);
  return mNext++;
}

void
body_budget::Close(holding_id aBody)
{
  body_map::iterator found = mBodies.find(aBody);
  if (found == mBodies.end()) {
    return;
  }
  mBodyBytes -= found->second.mBytes;
  if (found->second.mDropped) {
    mDroppedBytes -= found->second.mBytes;
  }
  mBodies.erase(found);
}

std::size_t
body_budget::Limit(std::size_t aBytesOfBody) const
{
  return aBytesOfBody <= kSmall
           ? mOptions.mTotal
           : mOptions.mTotal - mOptions.mTotal / kReserveParts;
}

bool
body_budget::Fits(std::size_t aBytes) const
{
  return aBytes <= Limit(aBytes);
}

bool
body_budget::MayDrop(const body& aBody, instant aNow) const
{
  return !aBody.mWorkBegun && !aBody.mDropped && aBody.mBytes > 0 &&
         aNow - aBody.mQuickUntil >= kMinLag;
}

bool
body_budget::HasRoomFor(std::size_t aBytes, instant aNow) const
{
  std::size_t held = Used();
  if (held + aBytes <= Limit(aBytes)) {
    return true;
  }
  for (const body_map::value_type& one : mBodies) {
    if (one.second.mDropped || MayDrop(one.second, aNow)) {
      held -= one.second.mBytes;
    }
  }
  return held + aBytes <= Limit(aBytes);
}

std::vector<body_budget::body_map::iterator>
body_budget::Candidates(const body& aTaker, instant aNow)
{
  std::vector<body_map::iterator> found;
  for (body_map::iterator one = mBodies.begin(); one != mBodies.end(); ++one) {
    if (one->second.mQuickUntil < aTaker.mQuickUntil &&
        MayDrop(one->second, aNow)) {
      found.push_back(one);
    }
  }
  std::sort(found.begin(),
            found.end(),
            [](const body_map::iterator& aOne, const body_map::iterator& aTwo) {
              return aOne->second.mQuickUntil < aTwo->second.mQuickUntil;
            });
  return found;
}

room_answer
body_budget::Take(holding_id aBody, std::size_t aBytes, instant aNow)
{
  body& taker = mBodies.at(aBody);
  if (taker.mDropped) {
    return room_answer::None;
  }
  std::size_t limit = Limit(taker.mBytes + aBytes);
  if (Used() + aBytes <= limit) {
    taker.mBytes += aBytes;
    mBodyBytes += aBytes;
    return room_answer::Granted;
  }
  std::size_t kept = Used() - mDroppedBytes;
  std::vector<body_map::iterator> dropped;
  for (const body_map::iterator& one : Candidates(taker, aNow)) {
    if (kept + aBytes <= limit) {
      break;
    }
    kept -= one->second.mBytes;
    dropped.push_back(one);
  }
  if (kept + aBytes > limit) {
    return room_answer::None;
  }
  for (const body_map::iterator& one : dropped) {
    one->second.mDropped = true;
    mDroppedBytes += one->second.mBytes;
    mNewlyDropped.push_back(one->first);
  }
  return room_answer::Later;
}

void
body_budget::CountProgress(holding_id aBody, std::size_t aBytes, instant aNow)
{
  body& progressed = mBodies.at(aBody);
  std::chrono::microseconds paid(aBytes * 1000000 / mOptions.mMinRate);
  progressed.mPaidUntil = std::min(aNow, progressed.mPaidUntil + paid);
  progressed.mQuickUntil =
    std::min(aNow, progressed.mQuickUntil + paid / kPressure);
}

bool
body_budget::IsTooSlow(holding_id aBody, instant aNow) const
{
  return aNow >= TooSlowAt(aBody);
}

instant
body_budget::TooSlowAt(holding_id aBody) const
{
  return mBodies.at(aBody).mPaidUntil + mOptions.mGrace;
}

void
body_budget::BeginWork(holding_id aBody)
{
  mBodies.at(aBody).mWorkBegun = true;
}

bool
body_budget::IsDropped(holding_id aBody) const
{
  return mBodies.at(aBody).mDropped;
}

std::vector<holding_id>
body_budget::TakeDropped()
{
  return std::exchange(mNewlyDropped, {});
}

std::size_t
body_budget::TakeForResponse(std::size_t aBytes)
{
  std::size_t most = mOptions.mTotal / kResponseParts;
  std::size_t ofShare = most - std::min(most, mResponseBytes);
  std::size_t ofTotal = mOptions.mTotal - std::min(mOptions.mTotal, Used());
  std::size_t granted = std::min({ aBytes, ofShare, ofTotal });
  mResponseBytes += granted;
  return granted;
}

void
body_budget::ReturnOfResponse(std::size_t aBytes)
{
  mResponseBytes -= aBytes;
}

bool
body_budget::TakeForHead(std::size_t aBytes)
{
  if (Used() + aBytes > Limit(kSmall + 1)) {
    return false;
  }
  mHeadBytes += aBytes;
  return true;
}

bool
body_budget::ReturnOfHead(std::size_t aBytes)
{
  mHeadBytes -= aBytes;
  mReturnedOfHeads += aBytes;
  if (mReturnedOfHeads < mOptions.mTotal / kTrimParts) {
    return false;
  }
  mReturnedOfHeads = 0;
  return true;
}

std::chrono::milliseconds
body_budget::ReaderLimit(std::size_t aBytes) const
{
  return mOptions.mReaderGrace +
         std::chrono::milliseconds(aBytes * 1000 / mOptions.mReaderRate);
}

} // namespace laburnumdyke
