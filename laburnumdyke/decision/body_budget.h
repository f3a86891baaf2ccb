// Decides which requests and responses an instance may hold in memory.
//
// One budget of bytes is shared by bodies, responses and large heads. A body
// takes bytes as they arrive; its first kSmall bytes may come from a reserve
// that larger bodies can't use, so that small requests are served beside large
// ones. If the budget is exhausted, the body that lags most is dropped. A body
// on which an upstream may have begun to work is never dropped.
//
// Progress is measured as a rate: each received byte pays for the time in which
// it is due at the minimum rate. The lag of a body is the time not paid for, so
// that a body that receives a byte now and then lags as one that receives
// nothing. No credit is gained in advance. If the budget is exhausted, the lag
// counts at kPressure times the minimum rate: bodies that barely meet the
// minimum must not keep the budget from those that arrive quickly.
//
// Usage:
//   holding_id body = budget.Open(now);
//   switch (budget.Take(body, bytes, now)) ...   // before bytes are buffered
//   budget.CountProgress(body, received, now);
//   if (budget.IsTooSlow(body, now)) ...
//   for (holding_id dropped : budget.TakeDropped()) ... // to be closed
//   budget.BeginWork(body);                      // the body is complete
//   budget.Close(body);
//   std::size_t granted = budget.TakeForResponse(bytes);
//   budget.ReturnOfResponse(granted);
//   if (budget.TakeForHead(bytes)) ... budget.ReturnOfHead(bytes);
#pragma once

#include "laburnumdyke/decision/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace laburnumdyke {

struct body_budget_options
{
  std::size_t mTotal = 64UL * 1024 * 1024; // bytes
  std::size_t mMinRate = 4096;             // bytes per second, of a body
  // Longest lag of a body. Clients may pause for a few seconds.
  std::chrono::milliseconds mGrace{ 15000 };
  std::size_t mReaderRate = 16384; // bytes per second, of a response's reader
  std::chrono::milliseconds mReaderGrace{ 1500 };
};

using holding_id = std::uint64_t;

enum class room_answer
{
  Granted,
  Later, // another body is being dropped; ask again once it has been closed
  None,
};

class body_budget
{
public:
  // Bytes of a body that may come from the reserve.
  static constexpr std::size_t kSmall = 64UL * 1024;
  // Fraction of the budget that is reserved: one part of kReserveParts.
  static constexpr std::size_t kReserveParts = 16;
  // Responses may take one part of kResponseParts.
  static constexpr std::size_t kResponseParts = 4;
  // Heads may return one part of kTrimParts before the heap is to be trimmed.
  static constexpr std::size_t kTrimParts = 32;
  static constexpr int kPressure = 16;
  // A body that lags less is not dropped for another one: it may only wait for
  // a round trip.
  static constexpr std::chrono::milliseconds kMinLag{ 500 };

  explicit body_budget(body_budget_options aOptions)
    : mOptions(aOptions)
  {
  }

  holding_id Open(instant aNow);
  void Close(holding_id aBody);

  // Whether a body of aBytes can be held at all, if it is alone.
  bool Fits(std::size_t aBytes) const;

  // Whether a body of aBytes that is about to arrive would find room, counting
  // bodies that may be dropped for it as free.
  bool HasRoomFor(std::size_t aBytes, instant aNow) const;

  // Takes aBytes for a body. May choose another body to be dropped. Returns
  // None for a body that has been dropped itself.
  room_answer Take(holding_id aBody, std::size_t aBytes, instant aNow);

  void CountProgress(holding_id aBody, std::size_t aBytes, instant aNow);
  bool IsTooSlow(holding_id aBody, instant aNow) const;
  // When the body becomes too slow if it receives nothing more.
  instant TooSlowAt(holding_id aBody) const;

  // From now on the body is not dropped.
  void BeginWork(holding_id aBody);
  bool IsDropped(holding_id aBody) const;
  bool IsOpen(holding_id aBody) const { return mBodies.count(aBody) > 0; }

  // The bodies dropped since the last call. Each holds its bytes until Close.
  std::vector<holding_id> TakeDropped();

  // Takes up to aBytes for a response; returns how many were granted.
  std::size_t TakeForResponse(std::size_t aBytes);
  void ReturnOfResponse(std::size_t aBytes);

  // Takes aBytes for the head of a request and returns true, or takes nothing.
  // Heads leave the reserve to small bodies.
  bool TakeForHead(std::size_t aBytes);
  // Returns whether heads have returned so much since this last was true that
  // the heap should return its free memory to the system.
  bool ReturnOfHead(std::size_t aBytes);

  // Longest time in which a caller may take aBytes of a response.
  std::chrono::milliseconds ReaderLimit(std::size_t aBytes) const;

  std::size_t Used() const { return mBodyBytes + mResponseBytes + mHeadBytes; }

private:
  struct body
  {
    std::size_t mBytes = 0;
    instant mPaidUntil{};  // the minimum rate is met up to here
    instant mQuickUntil{}; // as above, at kPressure times the rate
    bool mWorkBegun = false;
    bool mDropped = false;
  };
  using body_map = std::map<holding_id, body>;

  std::size_t Limit(std::size_t aBytesOfBody) const;
  bool MayDrop(const body& aBody, instant aNow) const;
  // The bodies that may be dropped for aTaker, the one that lags most first.
  std::vector<body_map::iterator> Candidates(const body& aTaker, instant aNow);

  body_budget_options mOptions;
  body_map mBodies;
  std::vector<holding_id> mNewlyDropped;
  std::size_t mBodyBytes = 0;
  std::size_t mResponseBytes = 0;
  std::size_t mHeadBytes = 0;
  std::size_t mReturnedOfHeads = 0; // since the heap was last to be trimmed
  std::size_t mDroppedBytes = 0;    // of dropped bodies that are not closed yet
  holding_id mNext = 1;
};

} // namespace laburnumdyke
