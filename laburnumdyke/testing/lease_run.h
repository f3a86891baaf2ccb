// Parameters and result line of randomised runs of lease_cluster.
#pragma once

#include "laburnumdyke/testing/standin/lease_cluster.h"

#include <cstdio>

namespace laburnumdyke {

struct random_run
{
  std::size_t mInstances;
  std::uint32_t mSeed;
};

inline constexpr int kEpisodes = 20;
inline constexpr std::uint64_t kEventsPerEpisode = 5000;

inline void
PrintResult(const lease_cluster& aCluster, const random_run& aRun)
{
  std::printf("instances=%zu seed=%u events=%llu dispatched=%llu "
              "slots_held=%llu held=%.4f %s\n",
              aRun.mInstances,
              aRun.mSeed,
              static_cast<unsigned long long>(aCluster.Events()),
              static_cast<unsigned long long>(aCluster.Dispatched()),
              static_cast<unsigned long long>(aCluster.Refused()),
              aCluster.HeldFraction(),
              aCluster.Violation().c_str());
}

} // namespace laburnumdyke
