// Token buckets of one direction of a link at one instance, by rank of work.
//
// Usage:
//   buckets.Configure(document.mRanks, now);
//   buckets.SetRate(rate, now);
//   link_answer answer = buckets.Take(rank, bytes, now);
//
// Invariant: bytes granted never exceed the rate's integral over time.
#pragma once

#include "laburnumdyke/decision/link_rate.h"

#include <array>

namespace laburnumdyke {

// What varies in a budget is the order in which ranks get tokens.
template<class T>
concept token_order =
  requires(T& aOrder, const T& aConst, work_rank aRank, instant aNow)
{
  aOrder.RecordShortage(aRank, aNow);
  {
    aConst.MayUseSharedTokens(aRank, aNow)
    } -> std::same_as<bool>;
};

// Tokens outside the floors go to a rank only while no more urgent one has
// lately been short.
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

struct link_answer
{
  std::uint64_t mGranted = 0;
  std::chrono::milliseconds mAskAgain{ 0 }; // where less was granted
};

// The token buckets of one direction at one instance: one for each rank's
// floor, one for the rest. A full floor bucket overflows into the rest.
template<token_order Order = urgent_first>
class rank_buckets
{
public:
  // Tokens kept at most, as time at the current rate.
  static constexpr std::chrono::milliseconds kDepth{ 50 };

  void Configure(const std::array<rank_spec, kRankCount>& aRanks, instant aNow);

  // Fills the buckets up to aNow at the earlier rate.
  void SetRate(byte_rate aRate, instant aNow);

  link_answer Take(work_rank aRank, std::uint64_t aBytes, instant aNow);

  // The part of the rate that the rank can have as things are, in percent: its
  // floor while a more urgent rank is short, else all that nobody else takes.
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
  double mAllowedBytes = 0; // integral of the rate
  double mTakenBytes = 0;
};

extern template class rank_buckets<urgent_first>;

} // namespace laburnumdyke
