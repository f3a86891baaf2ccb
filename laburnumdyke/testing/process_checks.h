// Checks that the tests of real processes share.
#pragma once

#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

namespace laburnumdyke {

inline void
PrintRank(work_rank aRank, const rank_tally& aTally)
{
  std::printf("  %s: answered %llu, not-run %llu, unknown %llu, attempts %llu",
              std::string(ToString(aRank)).c_str(),
              static_cast<unsigned long long>(aTally.mAnswered),
              static_cast<unsigned long long>(aTally.mNotRun),
              static_cast<unsigned long long>(aTally.mUnknown),
              static_cast<unsigned long long>(aTally.mAttempts));
  for (const std::pair<const std::string, std::uint64_t>& reason :
       aTally.mReasons) {
    std::printf(", %s %llu",
                reason.first.c_str(),
                static_cast<unsigned long long>(reason.second));
  }
  std::printf("\n");
}

inline void
PrintCounts(const char* aWhat,
            const upstream_count& aUpstreams,
            const caller_report& aReport)
{
  std::printf("%s: runs %llu, overshot %llu, run twice %llu, false not-run "
              "%llu, wrong %llu\n",
              aWhat,
              static_cast<unsigned long long>(aUpstreams.mRuns),
              static_cast<unsigned long long>(aUpstreams.mOvershot),
              static_cast<unsigned long long>(aUpstreams.RunTwice()),
              static_cast<unsigned long long>(FalseNotRun(aUpstreams, aReport)),
              static_cast<unsigned long long>(WrongAnswers(aReport)));
  for (std::size_t i = 0; i < kRankCount; ++i) {
    PrintRank(static_cast<work_rank>(i), aReport.mRanks.at(i));
  }
}

// What holds in every run, whatever failed.
inline void
CheckPromises(const char* aWhat,
              const deployment& aDeployment,
              const caller_report& aReport)
{
  upstream_count upstreams = CountUpstreams(aDeployment);
  PrintCounts(aWhat, upstreams, aReport);
  for (const rank_tally& tally : aReport.mRanks) {
    CHECK(tally.mAnswered > 0);
  }
  CHECK_EQUAL(0, upstreams.RunTwice());
  CHECK_EQUAL(0, FalseNotRun(upstreams, aReport));
  CHECK_EQUAL(0, WrongAnswers(aReport));
  CHECK_EQUAL(0, upstreams.mOvershot);
}

inline std::uint64_t
UnknownCount(const caller_report& aReport)
{
  std::uint64_t unknown = 0;
  for (const rank_tally& tally : aReport.mRanks) {
    unknown += tally.mUnknown;
  }
  return unknown;
}

inline std::uint64_t
RunsIn(const deployment& aDeployment, const std::string& aDomain)
{
  std::uint64_t runs = 0;
  for (const upstream_plan& plan : aDeployment.Upstreams()) {
    runs += plan.mDomain == aDomain
              ? CountUpstream(aDeployment, plan.mName).mRuns
              : 0;
  }
  return runs;
}

// True once work has been run at upstreams of the failure domain since now.
inline bool
WaitForRunsIn(const deployment& aDeployment, const std::string& aDomain)
{
  constexpr std::uint64_t kEnough = 20;
  std::uint64_t before = RunsIn(aDeployment, aDomain);
  return WaitUntil(
    [&]() { return RunsIn(aDeployment, aDomain) >= before + kEnough; },
    kEventLimit);
}

inline std::size_t
PeersSeen(const deployment& aDeployment, const std::string& aName)
{
  boost::json::object status = JsonObject(aDeployment.Status(aName));
  const boost::json::value* peers = status.if_contains("peers");
  return peers != nullptr && peers->is_array() ? peers->get_array().size() : 0;
}

// True once every daemon sees so many others.
inline bool
WaitForPeers(const deployment& aDeployment, std::size_t aPeers)
{
  return WaitUntil(
    [&]() {
      for (const std::string& name : aDeployment.DaemonNames()) {
        if (PeersSeen(aDeployment, name) != aPeers) {
          return false;
        }
      }
      return true;
    },
    kEventLimit);
}

inline std::uint64_t
VersionOf(const deployment& aDeployment, const std::string& aName)
{
  return JsonNumber(JsonObject(aDeployment.Status(aName)), "version");
}

// True once every daemon, whomever it sees, has the version in force.
inline bool
WaitForVersionEverywhere(const deployment& aDeployment, std::uint64_t aVersion)
{
  return WaitUntil(
    [&]() {
      for (const std::string& name : aDeployment.DaemonNames()) {
        if (VersionOf(aDeployment, name) < aVersion) {
          return false;
        }
      }
      return true;
    },
    kEventLimit);
}

} // namespace laburnumdyke
