// One thread and one coroutine per caller: the report needs no lock.
#include "laburnumdyke/testing/harness/caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMostAttempts = 4;

std::chrono::steady_clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

asio::awaitable<void>
Sleep(std::chrono::milliseconds aPeriod)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aPeriod);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

boost::json::object
ParseObject(const std::string& aText)
{
  boost::system::error_code failure;
  boost::json::value parsed = boost::json::parse(aText, failure);
  return !failure && parsed.is_object() ? parsed.get_object()
                                        : boost::json::object();
}

} // namespace

caller_group::caller_group(std::vector<endpoint> aFirst, std::uint64_t aSeed)
  : mFirst(std::move(aFirst))
  , mRandom(aSeed)
{
}

void
caller_group::Add(const caller_plan& aPlan, std::size_t aCallers)
{
  mPlans.insert(mPlans.end(), aCallers, aPlan);
}

void
caller_group::Run()
{
  asio::io_context context(1);
  for (const caller_plan& plan : mPlans) {
    asio::co_spawn(context, RunCaller(plan, mRandom()), asio::detached);
  }
  context.run();
}

asio::awaitable<void>
caller_group::RunCaller(caller_plan aPlan, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  cached_lookup lookup;
  std::uniform_int_distribution<std::int64_t> spread(0, aPlan.mPause.count());
  co_await Sleep(std::chrono::milliseconds(spread(random)));
  while (!mStop) {
    if (Now() >= lookup.mExpires || lookup.mEntries.empty()) {
      co_await LookUp(aPlan, lookup, random);
    }
    if (!lookup.mEntries.empty()) {
      co_await RunRequest(aPlan, lookup, random);
    }
    co_await Sleep(
      std::chrono::milliseconds(aPlan.mPause.count() / 2 + spread(random)));
  }
}

asio::awaitable<void>
caller_group::LookUp(const caller_plan& aPlan,
                     cached_lookup& aLookup,
                     std::mt19937_64& aRandom)
{
  std::vector<endpoint> asked = aLookup.mEntries;
  asked.insert(asked.end(), mFirst.begin(), mFirst.end());
  std::shuffle(asked.begin() +
                 static_cast<std::ptrdiff_t>(aLookup.mEntries.size()),
               asked.end(),
               aRandom);
  aLookup.mEntries.clear();
  for (const endpoint& entry : asked) {
    call_request request;
    request.mTo = entry;
    request.mTarget =
      "/v1/lookup?service=" + aPlan.mService + "&client=" + aPlan.mClient;
    request.mTimeout = std::chrono::milliseconds(1000);
    call_result result = co_await Call(request);
    boost::json::object answer = ParseObject(result.mBody);
    if (result.mComplete && result.mStatus == 200 &&
        answer.contains("entries")) {
      for (const boost::json::value& one : answer["entries"].as_array()) {
        std::optional<endpoint> parsed =
          ParseEndpoint(FromBeast(one.as_object().at("address").as_string()));
        if (parsed) {
          aLookup.mEntries.push_back(*parsed);
        }
      }
      aLookup.mExpires = Now() + std::chrono::milliseconds(
                                   answer["ttl_ms"].to_number<std::int64_t>());
      co_return;
    }
  }
}

asio::awaitable<void>
caller_group::RunRequest(const caller_plan& aPlan,
                         cached_lookup& aLookup,
                         std::mt19937_64& aRandom)
{
  request_progress progress;
  progress.mBegan = Now();
  // A size of its own shows an answer that belongs to another request.
  progress.mBytes = aPlan.mAnswerBytes + aRandom() % 1000;
  if (!aPlan.mIdempotent) {
    call_request request;
    request.mTo = aLookup.mEntries.front();
    request.mTarget = "/v1/identity";
    request.mTimeout = std::chrono::milliseconds(1000);
    call_result result = co_await Call(request);
    boost::json::object answer = ParseObject(result.mBody);
    if (!answer.contains("identity")) {
      aLookup.mExpires = {};
      co_return;
    }
    progress.mIdentity = FromBeast(answer["identity"].as_string());
  }
  std::vector<endpoint> entries = aLookup.mEntries;
  bool done = false;
  for (std::size_t i = 0; i < kMostAttempts && !done; ++i) {
    done = co_await Attempt(aPlan, entries[i % entries.size()], progress);
    if (!done && Now() - progress.mBegan >= aPlan.mDeadline) {
      done = true;
    }
  }
  rank_tally& tally = mReport.mRanks.at(static_cast<std::size_t>(aPlan.mRank));
  switch (progress.mTold) {
    case outcome_kind::Answered:
      ++tally.mAnswered;
      tally.mLatencies.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(Now() -
                                                              progress.mBegan));
      break;
    case outcome_kind::NotRun:
      ++tally.mNotRun;
      break;
    case outcome_kind::Unknown:
      ++tally.mUnknown;
      break;
  }
  if (!progress.mIdentity.empty()) {
    mReport.mIdentified.push_back({ progress.mIdentity, progress.mTold });
  }
}

asio::awaitable<bool>
caller_group::Attempt(const caller_plan& aPlan,
                      const endpoint& aEntry,
                      request_progress& aProgress)
{
  std::chrono::milliseconds left =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aProgress.mBegan + aPlan.mDeadline - Now());
  if (left.count() <= 0) {
    co_return true;
  }
  call_request request;
  request.mTo = aEntry;
  request.mMethod = aPlan.mIdempotent ? http::verb::get : http::verb::post;
  request.mTarget = "/v1/request/" + aPlan.mService +
                    "/work?ms=" + std::to_string(aPlan.mServiceTime.count()) +
                    "&bytes=" + std::to_string(aProgress.mBytes);
  request.mHeaders = {
    { std::string(kRankHeader), std::string(ToString(aPlan.mRank)) },
    { std::string(kDeadlineHeader), std::to_string(left.count()) }
  };
  if (!aProgress.mIdentity.empty()) {
    request.mHeaders.emplace_back(kIdentityHeader, aProgress.mIdentity);
    request.mBody = "booking";
  }
  request.mTimeout = left + std::chrono::milliseconds(500);
  ++mReport.mRanks.at(static_cast<std::size_t>(aPlan.mRank)).mAttempts;
  call_result result = co_await Call(request);
  co_return Judge(aPlan, aEntry, result, aProgress);
}

bool
caller_group::Judge(const caller_plan& aPlan,
                    const endpoint& aEntry,
                    const call_result& aResult,
                    request_progress& aProgress)
{
  rank_tally& tally = mReport.mRanks.at(static_cast<std::size_t>(aPlan.mRank));
  bool mayHaveRun = aProgress.mTold == outcome_kind::Unknown;
  if (!aResult.mComplete) {
    // Without a connection nothing was sent and nothing can have run.
    if (aResult.mSent) {
      mReport.mCut.push_back({ aEntry, aResult.mStatus != 0, Now() });
      aProgress.mTold = outcome_kind::Unknown;
    }
    ++tally.mReasons[aResult.mSent ? "connection_cut" : "connection_refused"];
    return false;
  }
  outcome_kind told =
    ParseOutcome(aResult.Field(kOutcomeHeader)).value_or(outcome_kind::Unknown);
  std::string reason = aResult.Field(kReasonHeader);
  if (told == outcome_kind::Answered) {
    aProgress.mTold = told;
    bool right =
      aResult.mStatus != 200 || aResult.mBody.size() == aProgress.mBytes;
    tally.mWrong += right ? 0 : 1;
    return true;
  }
  ++tally.mReasons[reason];
  if (told == outcome_kind::Unknown || mayHaveRun) {
    aProgress.mTold = outcome_kind::Unknown;
    return reason == ToString(refusal_reason::AlreadyRun) ||
           reason == ToString(refusal_reason::IssuerGone);
  }
  aProgress.mTold = told;
  return false;
}

} // namespace laburnumdyke
