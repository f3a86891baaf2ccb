// Links of the randomised run: between failure domains, and from each to the
// platform. A cut link passes nothing on; messages under way are lost.
#pragma once

#include "laburnumdyke/testing/soak/deployment.h"
#include "laburnumdyke/testing/soak/simulation.h"

#include <array>

namespace laburnumdyke {

inline constexpr std::size_t kPlatformSite = kSoakDomains;

class network
{
public:
  explicit network(simulation& aSimulation)
    : mSimulation(aSimulation)
  {
  }

  bool IsOpen(std::size_t aFirst, std::size_t aSecond) const
  {
    return aFirst == aSecond || mCuts.at(aFirst).at(aSecond) == 0;
  }

  // The time since which the link has been whole.
  instant OpenSince(std::size_t aFirst, std::size_t aSecond) const
  {
    return mMended.at(aFirst).at(aSecond);
  }

  void Cut(std::size_t aFirst, std::size_t aSecond) { Add(aFirst, aSecond, 1); }
  void Mend(std::size_t aFirst, std::size_t aSecond)
  {
    Add(aFirst, aSecond, -1);
  }

  // One way, with jitter that lets messages overtake one another.
  duration Delay(std::size_t aFirst, std::size_t aSecond)
  {
    std::chrono::microseconds least(aFirst == aSecond ? 300 : 4000);
    return mSimulation.Between(least, least * 2);
  }

private:
  using site_counts = std::array<int, kSoakDomains + 1>;
  using site_times = std::array<instant, kSoakDomains + 1>;

  void Add(std::size_t aFirst, std::size_t aSecond, int aCount)
  {
    mCuts.at(aFirst).at(aSecond) += aCount;
    mCuts.at(aSecond).at(aFirst) = mCuts.at(aFirst).at(aSecond);
    mMended.at(aFirst).at(aSecond) = mSimulation.Now();
    mMended.at(aSecond).at(aFirst) = mSimulation.Now();
  }

  simulation& mSimulation;
  std::array<site_counts, kSoakDomains + 1> mCuts{};
  std::array<site_times, kSoakDomains + 1> mMended{};
};

} // namespace laburnumdyke
