// Token buckets by rank of work, for one direction of a link at one instance.
//
// Usage:
//   buckets.Configure(document.mRanks, now);
//   buckets.SetRate(rate, now);
//   link_take_result answer = buckets.Take(rank, bytes, now);
//
// Invariant: the bytes granted never exceed the integral of the rate over time.
#pragma once

#include "laburnumdyke/decision/link_rate.h"

#include <array>

namespace laburnumdyke {

// Policy that decides which ranks may take tokens outside the floors.
template<class T>
concept token_order =
  requires(T& aOrder, const T& aConst, work_rank aRank, instant aNow)
{
  aOrder.RecordShortage(aRank, aNow);
  {
    aConst.MayUseSharedTokens(aRank, aNow)
    } -> std::same_as<bool>;
};

// A rank may take tokens outside the floors only if no more urgent rank has run
// short of tokens within the last kShortageWindow.
class urgent_first
{
public:
  static constexpr std::chrono::milliseconds kShortageWindow{ 50 };

  void RecordShortage(work_rank aRank, instant aNow)
  {
    mLastShortage.at(static_cast<std::size_t>(aRank)) = aNow;
  }

  bool MayUseSharedTokens(work_rank aRank, instant aNow) const
  {
    for (std::size_t i = 0; i < static_cast<std::size_t>(aRank); ++i) {
      if (mLastShortage.at(i) &&
          aNow - *mLastShortage.at(i) < kShortageWindow) {
        return false;
      }
    }
    return true;
  }

private:
  std::array<std::optional<instant>, kRankCount> mLastShortage{};
};

static_assert(token_order<urgent_first>);

struct link_take_result
{
  std::uint64_t mGranted = 0;
  std::chrono::milliseconds mRetryAfter{ 0 }; // if less was granted
};

// One bucket for the floor of each rank and a shared bucket for the remaining
// rate. Floor buckets that are full overflow into the shared bucket.
template<token_order Order = urgent_first>
class rank_buckets
{
public:
  // Capacity of a bucket, as time at its current rate.
  static constexpr std::chrono::milliseconds kDepth{ 50 };

  void Configure(const std::array<rank_spec, kRankCount>& aRanks, instant aNow);

  // Fills the buckets up to aNow at the previous rate, then changes the rate.
  void SetRate(byte_rate aRate, instant aNow);

  link_take_result Take(work_rank aRank, std::uint64_t aBytes, instant aNow);

  // Upper bound on the percentage of the rate that the rank can use now: its
  // floor while a more urgent rank is short of tokens, otherwise 100.
  std::uint32_t MaxPercent(work_rank aRank, instant aNow) const;

private:
  void Fill(instant aNow);
  double Depth(std::uint32_t aPercent) const;
  std::chrono::milliseconds WaitFor(work_rank aRank, double aBytes) const;

  Order mOrder;
  std::array<std::uint32_t, kRankCount> mFloors{}; // percent
  std::uint32_t mSharedPercent = 100;
  byte_rate mRate = 0;
  instant mFilledAt{};
  std::array<double, kRankCount> mFloorTokens{};
  double mSharedTokens = 0;
  double mAllowedBytes = 0; // integral of the rate over time
  double mTakenBytes = 0;
};

extern template class rank_buckets<urgent_first>;

} // namespace laburnumdyke
