// Durations run from well below the heartbeat's period to well above every
// lease, deadline and time to live.
#include "laburnumdyke/testing/soak/fault_plan.h"

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kMeanGap{ 1500 };
constexpr double kDoubled = 0.3;
constexpr std::chrono::seconds kCheckPeriod{ 1 };
constexpr std::chrono::seconds kQuietBefore{ 10 };
// The maximum lookup TTL and the spread of heartbeats, as caller_http waits.
constexpr std::chrono::milliseconds kStaysAfterLeaving{ 4500 };
constexpr std::chrono::milliseconds kExitPeriod{ 50 };
constexpr double kFloodFactor = 4;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(fault_kind::Count)>
  kNames = { "kill",          "quick_restart",  "freeze",
             "long_freeze",   "planned_stop",   "domain_lost",
             "cut_domains",   "cut_platform",   "platform_outage",
             "platform_slow", "platform_stale", "lost_write_answers",
             "flood",         "upstream_drain", "upstream_crash",
             "upstream_slow" };

} // namespace

std::string_view
ToString(fault_kind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

fault_plan::fault_plan(soak_world aWorld,
                       caller_fleet& aCallers,
                       stop_records& aStops)
  : mWorld(aWorld)
  , mCallers(aCallers)
  , mStops(aStops)
{
}

void
fault_plan::Start()
{
  for (std::size_t i = 0; i < kSoakEntries; ++i) {
    StartEntry(i);
  }
  NextFault();
  CheckSpread();
}

duration
fault_plan::Seconds(double aLeast, double aMost)
{
  return mWorld.mSimulation.Between(
    std::chrono::microseconds(static_cast<std::int64_t>(aLeast * 1e6)),
    std::chrono::microseconds(static_cast<std::int64_t>(aMost * 1e6)));
}

void
fault_plan::NextFault()
{
  mWorld.mSimulation.AtWorld(
    mWorld.mSimulation.Exponential(kMeanGap), event_kind::Fault, [this] {
      std::size_t count = mWorld.mSimulation.Chance(kDoubled) ? 2 : 1;
      for (std::size_t i = 0; i < count; ++i) {
        Inject(static_cast<fault_kind>(mWorld.mSimulation.Index(
          static_cast<std::size_t>(fault_kind::Count))));
      }
      NextFault();
    });
}

void
fault_plan::Inject(fault_kind aKind)
{
  simulation& sim = mWorld.mSimulation;
  ++mCounts.at(static_cast<std::size_t>(aKind));
  std::size_t entry = sim.Index(kSoakEntries);
  std::size_t upstream = sim.Index(kSoakUpstreams);
  std::size_t domain = sim.Index(kSoakDomains);
  switch (aKind) {
    case fault_kind::Kill:
      KillAndRestart(entry, Seconds(1, 8));
      return;
    case fault_kind::QuickRestart:
      KillAndRestart(entry, Seconds(0.01, 0.3));
      return;
    case fault_kind::Freeze:
      FreezeEntry(entry, Seconds(0.05, 2));
      return;
    case fault_kind::LongFreeze:
      FreezeEntry(entry, Seconds(2, 8));
      return;
    case fault_kind::PlannedStop:
      StopEntry(entry);
      return;
    case fault_kind::DomainLost:
      for (std::size_t i = 0; i < kSoakEntriesPerDomain; ++i) {
        KillAndRestart(domain * kSoakEntriesPerDomain + i, Seconds(1, 6));
      }
      return;
    case fault_kind::CutDomains:
      CutLink(domain, (domain + 1) % kSoakDomains, Seconds(0.3, 12));
      return;
    case fault_kind::CutPlatform:
      CutLink(domain, kPlatformSite, Seconds(1, 20));
      return;
    case fault_kind::PlatformOutage:
      PlatformFault(&platform_mock::SetOutage, aKind);
      return;
    case fault_kind::PlatformSlow:
      PlatformFault(&platform_mock::SetSlow, aKind);
      return;
    case fault_kind::PlatformStale:
      PlatformFault(&platform_mock::SetStale, aKind);
      return;
    case fault_kind::LostWriteAnswers:
      mWorld.mPlatform.LoseWriteAnswers(1 + sim.Index(3));
      return;
    case fault_kind::Flood:
      Flood(sim.Index(kSoakServices));
      return;
    case fault_kind::UpstreamDrain:
      Drain(upstream);
      return;
    case fault_kind::UpstreamCrash:
      CrashUpstream(upstream);
      return;
    case fault_kind::UpstreamSlow:
      SlowUpstream(upstream);
      return;
    case fault_kind::Count:
      return;
  }
}

// --- entry instances ----------------------------------------------------

void
fault_plan::StartEntry(std::size_t aEntry)
{
  mWorld.mSimulation.Start(aEntry, ++mLastIncarnation);
  mStops.at(aEntry) = {};
  std::unique_ptr<entry_instance>& slot = mWorld.mEntries.at(aEntry);
  slot = std::make_unique<entry_instance>(mWorld, aEntry, mLastIncarnation);
  slot->Start();
}

void
fault_plan::KillEntry(std::size_t aEntry, bool aPlanned)
{
  mWorld.mSimulation.Kill(aEntry);
  mWorld.mEntries.at(aEntry).reset();
  stop_record& stop = mStops.at(aEntry);
  stop.mPlanned = aPlanned;
  if (!stop.mSince) {
    stop.mSince = mWorld.mSimulation.Now();
  }
  for (std::size_t i = 0; i < kSoakEntries; ++i) {
    bool reachable =
      mWorld.mNetwork.IsOpen(DomainOfEntry(i), DomainOfEntry(aEntry));
    if (i != aEntry && reachable) {
      soak_world world = mWorld;
      mWorld.mSimulation.AtProcess(
        { i, 0 },
        mWorld.mNetwork.Delay(DomainOfEntry(i), DomainOfEntry(aEntry)),
        event_kind::Message,
        [world, i, aEntry] { world.mEntries.at(i)->PeerReset(aEntry); });
    }
  }
}

void
fault_plan::KillAndRestart(std::size_t aEntry, duration aDown)
{
  if (!mWorld.mSimulation.Process(aEntry).mRunning) {
    return;
  }
  KillEntry(aEntry, false);
  mWorld.mSimulation.AtWorld(
    aDown, event_kind::Fault, [this, aEntry] { StartEntry(aEntry); });
}

void
fault_plan::FreezeEntry(std::size_t aEntry, duration aFor)
{
  const process_state& state = mWorld.mSimulation.Process(aEntry);
  if (!state.mRunning || state.mFrozen) {
    return;
  }
  mWorld.mSimulation.Freeze(aEntry);
  std::uint64_t incarnation = state.mIncarnation;
  mWorld.mSimulation.AtWorld(
    aFor, event_kind::Fault, [this, aEntry, incarnation] {
      const process_state& now = mWorld.mSimulation.Process(aEntry);
      if (now.mIncarnation == incarnation && now.mFrozen) {
        mWorld.mSimulation.Thaw(aEntry);
      }
    });
}

void
fault_plan::StopEntry(std::size_t aEntry)
{
  const process_state& state = mWorld.mSimulation.Process(aEntry);
  if (!state.mRunning || mStops.at(aEntry).mSince) {
    return;
  }
  std::uint64_t incarnation = state.mIncarnation;
  mWorld.mSimulation.AtProcess(
    { aEntry, incarnation },
    duration(0),
    event_kind::Fault,
    [this, aEntry, incarnation] {
      mStops.at(aEntry).mSince = mWorld.mSimulation.Now();
      mWorld.mEntries.at(aEntry)->BeginLeaving();
      mWorld.mSimulation.AtProcess(
        { aEntry, incarnation },
        kStaysAfterLeaving,
        event_kind::Fault,
        [this, aEntry, incarnation] { ExitWhenIdle(aEntry, incarnation); });
    });
}

void
fault_plan::ExitWhenIdle(std::size_t aEntry, std::uint64_t aIncarnation)
{
  if (!mWorld.mEntries.at(aEntry)->IsIdle()) {
    mWorld.mSimulation.AtProcess(
      { aEntry, aIncarnation },
      kExitPeriod,
      event_kind::Fault,
      [this, aEntry, aIncarnation] { ExitWhenIdle(aEntry, aIncarnation); });
    return;
  }
  mWorld.mSimulation.AtWorld(
    duration(0), event_kind::Fault, [this, aEntry, aIncarnation] {
      const process_state& state = mWorld.mSimulation.Process(aEntry);
      if (state.mRunning && state.mIncarnation == aIncarnation) {
        KillEntry(aEntry, true);
        mWorld.mSimulation.AtWorld(Seconds(0.5, 5),
                                   event_kind::Fault,
                                   [this, aEntry] { StartEntry(aEntry); });
      }
    });
}

// --- links and the platform ---------------------------------------------

void
fault_plan::CutLink(std::size_t aFirst, std::size_t aSecond, duration aFor)
{
  mWorld.mNetwork.Cut(aFirst, aSecond);
  mWorld.mSimulation.AtWorld(aFor, event_kind::Fault, [this, aFirst, aSecond] {
    mWorld.mNetwork.Mend(aFirst, aSecond);
  });
}

void
fault_plan::PlatformFault(void (platform_mock::*aSet)(bool), fault_kind aKind)
{
  bool& active = mActive.at(static_cast<std::size_t>(aKind));
  if (active) {
    return;
  }
  active = true;
  (mWorld.mPlatform.*aSet)(true);
  mWorld.mSimulation.AtWorld(
    Seconds(1, 25), event_kind::Fault, [this, aSet, aKind] {
      mActive.at(static_cast<std::size_t>(aKind)) = false;
      (mWorld.mPlatform.*aSet)(false);
    });
}

// --- upstreams and callers ----------------------------------------------

void
fault_plan::Drain(std::size_t aUpstream)
{
  upstream_mock& upstream = mWorld.mUpstreams.at(aUpstream);
  if (upstream.IsLeaving()) {
    return;
  }
  upstream.Leave();
  mWorld.mSimulation.AtWorld(
    Seconds(5, 20), event_kind::Fault, [this, aUpstream] {
      mWorld.mUpstreams.at(aUpstream).Return();
    });
}

void
fault_plan::CrashUpstream(std::size_t aUpstream)
{
  upstream_mock& upstream = mWorld.mUpstreams.at(aUpstream);
  if (!upstream.IsUp()) {
    return;
  }
  upstream.Crash();
  mWorld.mSimulation.AtWorld(
    Seconds(0.2, 8), event_kind::Fault, [this, aUpstream] {
      mWorld.mUpstreams.at(aUpstream).Restart();
    });
}

void
fault_plan::SlowUpstream(std::size_t aUpstream)
{
  mWorld.mUpstreams.at(aUpstream).SetSlow(true);
  mWorld.mSimulation.AtWorld(
    Seconds(2, 10), event_kind::Fault, [this, aUpstream] {
      mWorld.mUpstreams.at(aUpstream).SetSlow(false);
    });
}

void
fault_plan::Flood(std::size_t aService)
{
  mCallers.SetLoad(aService, kFloodFactor);
  mWorld.mSimulation.AtWorld(
    Seconds(2, 8), event_kind::Fault, [this, aService] {
      mCallers.SetLoad(aService, 1);
    });
}

// --- spread of versions -------------------------------------------------

void
fault_plan::CheckSpread()
{
  instant now = mWorld.mSimulation.Now();
  bool platformQuiet = mWorld.mPlatform.IsHealthy() &&
                       now - mWorld.mPlatform.HealthySince() > kQuietBefore;
  for (std::size_t i = 0; i < kSoakEntries && platformQuiet; ++i) {
    const process_state& state = mWorld.mSimulation.Process(i);
    std::size_t domain = DomainOfEntry(i);
    bool quiet =
      state.mRunning && !state.mFrozen && now - state.mStarted > kQuietBefore &&
      now - state.mThawed > kQuietBefore &&
      mWorld.mNetwork.IsOpen(domain, kPlatformSite) &&
      now - mWorld.mNetwork.OpenSince(domain, kPlatformSite) > kQuietBefore;
    if (quiet) {
      mWorld.mOracle.CheckSpread(
        { i, state.mIncarnation },
        mWorld.mEntries.at(i)->Decisions().Document().Version());
    }
  }
  mWorld.mSimulation.AtWorld(
    kCheckPeriod, event_kind::Check, [this] { CheckSpread(); });
}

} // namespace laburnumdyke
