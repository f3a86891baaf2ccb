// Faults of the randomised run: one every few seconds, often a second one
// with it.
#pragma once

#include "laburnumdyke/testing/soak/caller_fleet.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace laburnumdyke {

enum class fault_kind
{
  Kill,
  QuickRestart, // the next incarnation starts at once
  Freeze,
  LongFreeze, // longer than any lease and deadline
  PlannedStop,
  DomainLost, // every entry instance of a failure domain
  CutDomains,
  CutPlatform,
  PlatformOutage,
  PlatformSlow,
  PlatformStale,
  LostWriteAnswers,
  Flood,
  UpstreamDrain,
  UpstreamCrash,
  UpstreamSlow,
  Count,
};

std::string_view
ToString(fault_kind aKind);

using fault_counts =
  std::array<std::uint64_t, static_cast<std::size_t>(fault_kind::Count)>;

class fault_plan
{
public:
  fault_plan(soak_world aWorld, caller_fleet& aCallers, stop_records& aStops);

  // Starts all entry instances and the faults.
  void Start();

  const fault_counts& Counts() const { return mCounts; }

private:
  void NextFault();
  void Inject(fault_kind aKind);
  duration Seconds(double aLeast, double aMost);

  void StartEntry(std::size_t aEntry);
  void KillEntry(std::size_t aEntry, bool aPlanned);
  void KillAndRestart(std::size_t aEntry, duration aDown);
  void FreezeEntry(std::size_t aEntry, duration aFor);
  void StopEntry(std::size_t aEntry);
  void ExitWhenIdle(std::size_t aEntry, std::uint64_t aIncarnation);
  void CutLink(std::size_t aFirst, std::size_t aSecond, duration aFor);
  void PlatformFault(void (platform_mock::*aSet)(bool), fault_kind aKind);
  void Drain(std::size_t aUpstream);
  void CrashUpstream(std::size_t aUpstream);
  void SlowUpstream(std::size_t aUpstream);
  void Flood(std::size_t aService);
  void CheckSpread();

  soak_world mWorld;
  caller_fleet& mCallers;
  stop_records& mStops;
  fault_counts mCounts{};
  std::array<bool, static_cast<std::size_t>(fault_kind::Count)> mActive{};
  std::uint64_t mLastIncarnation = 0;
};

} // namespace laburnumdyke
