// One thread asks the daemons in turn. A daemon that does not answer within
// kAnswerLimit is passed over, so that a frozen one does not stop the watch.
#include "laburnumdyke/testing/harness/version_watch.h"

#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/upstream_count.h"

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kAnswerLimit{ 300 };
constexpr std::chrono::milliseconds kWatchEvery{ 20 };
constexpr std::chrono::milliseconds kSpreadPoll{ 10 };

} // namespace

std::uint64_t
VersionAt(const deployment& aDeployment, const std::string& aName)
{
  call_request request;
  request.mTo = aDeployment.Addresses(aName).mOperator;
  request.mTarget = "/v1/status";
  request.mTimeout = kAnswerLimit;
  return JsonNumber(JsonObject(CallNow(request).mBody), "version");
}

version_watch::version_watch(const deployment& aDeployment)
  : mDeployment(aDeployment)
  , mThread([this]() { Run(); })
{
}

version_watch::~version_watch()
{
  Stop();
}

void
version_watch::Stop()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
version_watch::Run()
{
  while (!mStop) {
    for (const std::string& name : mDeployment.DaemonNames()) {
      Read(name);
    }
    std::this_thread::sleep_for(kWatchEvery);
  }
}

void
version_watch::Read(const std::string& aName)
{
  std::uint64_t version = VersionAt(mDeployment, aName);
  if (version == 0) {
    return;
  }
  ++mReadings;
  std::uint64_t& highest = mHighest[aName];
  if (version < highest) {
    mDecreases.push_back(aName + " from " + std::to_string(highest) + " to " +
                         std::to_string(version));
  }
  highest = version;
}

spreading
WaitInForce(const deployment& aDeployment,
            const std::vector<std::string>& aNames,
            std::uint64_t aVersion,
            std::chrono::milliseconds aLimit)
{
  std::chrono::steady_clock::time_point began =
    std::chrono::steady_clock::now();
  std::vector<std::string> missing = aNames;
  spreading result;
  while (!missing.empty()) {
    for (std::size_t i = missing.size(); i > 0; --i) {
      if (VersionAt(aDeployment, missing[i - 1]) >= aVersion) {
        result.mLast = missing[i - 1];
        missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(i - 1));
      }
    }
    result.mWorst = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - began);
    if (!missing.empty() && result.mWorst >= aLimit) {
      return result;
    }
    std::this_thread::sleep_for(kSpreadPoll);
  }
  result.mEverywhere = true;
  return result;
}

} // namespace laburnumdyke
