// Callers as docs/CALLERS.md asks them to behave: they cache look-up answers
// for their time to live, use another entry instance after a refusal, and
// repeat a non-idempotent request only under its identity.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/harness/http_call.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace laburnumdyke {

// What callers of one rank saw.
struct rank_tally
{
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;  // after all attempts
  std::uint64_t mUnknown = 0; // after all attempts
  std::uint64_t mAttempts = 0;
  std::uint64_t mWrong = 0; // an answer that was not that of the request
  std::map<std::string, std::uint64_t> mReasons;     // of refused attempts
  std::vector<std::chrono::microseconds> mLatencies; // of answered requests
};

// A non-idempotent request and what its caller was told at the end.
struct identified_request
{
  std::string mIdentity;
  outcome_kind mTold = outcome_kind::Unknown;
};

// Connections that ended before the whole answer, by entry instance.
struct cut_request
{
  endpoint mEntry;
  bool mBegun = false; // the answer's header had arrived
  std::chrono::steady_clock::time_point mAt{};
};

struct caller_report
{
  std::array<rank_tally, kRankCount> mRanks;
  std::vector<identified_request> mIdentified;
  std::vector<cut_request> mCut;
};

struct caller_plan
{
  std::string mService;
  std::string mClient; // address of the client
  work_rank mRank = work_rank::Standard;
  bool mIdempotent = true;
  std::chrono::milliseconds mServiceTime{ 20 };
  std::size_t mAnswerBytes = 1000;
  std::chrono::milliseconds mDeadline{ 2000 };
  std::chrono::milliseconds mPause{ 50 }; // between requests
};

// Runs callers side by side for a time.
class caller_group
{
public:
  // aFirst: entry instances to ask for the first look-up, as from a list that
  // callers ship with.
  caller_group(std::vector<endpoint> aFirst, std::uint64_t aSeed);

  void Add(const caller_plan& aPlan, std::size_t aCallers);

  // Blocks until Stop was called and every caller has finished its request.
  void Run();
  void Stop() { mStop = true; }

  // After Run.
  const caller_report& Report() const { return mReport; }

private:
  struct cached_lookup
  {
    std::vector<endpoint> mEntries;
    std::chrono::steady_clock::time_point mExpires{};
  };

  // One request through its attempts.
  struct request_progress
  {
    std::string mIdentity;
    std::size_t mBytes = 0;
    std::chrono::steady_clock::time_point mBegan{};
    outcome_kind mTold = outcome_kind::NotRun;
  };

  asio::awaitable<void> RunCaller(caller_plan aPlan, std::uint64_t aSeed);
  asio::awaitable<void> LookUp(const caller_plan& aPlan,
                               cached_lookup& aLookup,
                               std::mt19937_64& aRandom);
  asio::awaitable<void> RunRequest(const caller_plan& aPlan,
                                   cached_lookup& aLookup,
                                   std::mt19937_64& aRandom);
  // True where no further attempt should be made.
  asio::awaitable<bool> Attempt(const caller_plan& aPlan,
                                const endpoint& aEntry,
                                request_progress& aProgress);
  bool Judge(const caller_plan& aPlan,
             const endpoint& aEntry,
             const call_result& aResult,
             request_progress& aProgress);

  std::vector<endpoint> mFirst;
  std::mt19937_64 mRandom;
  std::vector<caller_plan> mPlans;
  std::atomic<bool> mStop{ false };
  caller_report mReport; // of the one thread that runs the callers
};

} // namespace laburnumdyke
