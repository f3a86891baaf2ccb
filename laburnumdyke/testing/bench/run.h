// One run of one system, and the two as values for tables.
#pragma once

#include "laburnumdyke/testing/bench/baseline.h"
#include "laburnumdyke/testing/bench/steered.h"

namespace laburnumdyke::bench {

// A system under test: takes requests in as they reach a failure domain.
template<class T>
concept steering = std::constructible_from<T, world&> &&
  requires(T& aSystem, std::size_t aRequest)
{
  aSystem.Arrive(aRequest);
  aSystem.DocumentChanged();
};

template<steering System>
figures
Run(const deployment& aDeployment,
    const scenario& aScenario,
    std::uint64_t aSeed,
    std::chrono::seconds aLength)
{
  world made(aDeployment, aScenario, aSeed, aLength);
  System system(made);
  made.Run([&](std::size_t aRequest) { system.Arrive(aRequest); },
           [&]() { system.DocumentChanged(); });
  return std::move(made.Figures());
}

} // namespace laburnumdyke::bench
