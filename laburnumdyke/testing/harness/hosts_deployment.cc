// The store and the upstreams share one thread of the test's process; daemons
// reach them over loopback as they would reach others.
#include "laburnumdyke/testing/harness/hosts_deployment.h"

#include "laburnumdyke/plugin/sleep.h"
#include "laburnumdyke/testing/harness/deployment.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include <csignal>

namespace laburnumdyke {

namespace {

constexpr std::chrono::seconds kStartLimit{ 20 };
constexpr std::chrono::seconds kStopLimit{ 15 };

// What follows the version.
constexpr std::string_view kConfig =
  R"("base-version":0,"limits":{"max-header-bytes":16384,)"
  R"("max-body-bytes":1048576,"header-timeout-ms":3000,)"
  R"("idle-timeout-ms":15000},"listeners":[{"host":"a.example","rules":[)"
  R"({"name":"r","kind":"idempotent","target-latency-ms":1000,"priority":0,)"
  R"("session-affinity":false,"match":{"prefix":"/x/"},"action":{)"
  R"("service":"s","timeout-ms":3000,"max-attempts":2,"home-regions":[]}},)"
  R"({"name":"b","kind":"non_idempotent","target-latency-ms":1200,)"
  R"("priority":0,"session-affinity":false,"match":{"prefix":"/book/"},)"
  R"("action":{"service":"s","timeout-ms":4000,"max-attempts":2,)"
  R"("home-regions":[]}},)"
  R"({"name":"p","kind":"idempotent","target-latency-ms":1000,"priority":0,)"
  R"("session-affinity":false,"public":true,"match":{"prefix":"/open/"},)"
  R"("action":{"service":"s","timeout-ms":3000,"max-attempts":2,)"
  R"("home-regions":[]}}]}],)"
  R"("clusters":[{"name":"s","health-path":"/healthz",)"
  R"("max-connections":100,"protocol":"h1","tls":false,)"
  R"("cold-start-s":0,"cold-per-s":0}])";

std::string
Config(std::uint64_t aVersion, const std::string& aCustomers)
{
  std::string customers =
    aCustomers.empty() ? "" : R"("tenants":)" + aCustomers + ",";
  return R"({"version":)" + std::to_string(aVersion) + "," + customers +
         std::string(kConfig) + "}";
}

} // namespace

class host_upstream : public std::enable_shared_from_this<host_upstream>
{
public:
  // For ServeWhole.
  static constexpr std::uint64_t kMaxBody = 2UL * 1024 * 1024;

  explicit host_upstream(boost::asio::io_context& aContext)
    : mAddress(FreeEndpoint())
    , mAcceptor(aContext)
  {
  }

  std::optional<std::string> Start()
  {
    return StartWhole(shared_from_this(), mAddress, mAcceptor, mConnections);
  }

  boost::asio::awaitable<std::optional<short_answer>> Perform(
    whole_request aRequest)
  {
    {
      std::scoped_lock lock(mMutex);
      mRuns.push_back({ std::chrono::steady_clock::now(),
                        std::string(aRequest["X-Request-Id"]),
                        std::string(aRequest["X-Tenant"]),
                        aRequest.count("X-Key") > 0 });
      mRequests.insert(std::string(aRequest["X-Request-Id"]));
    }
    int workMs = std::atoi(std::string(aRequest["X-Work-Ms"]).c_str());
    if (workMs > 0) {
      co_await SleepFor(std::chrono::milliseconds(workMs));
    }
    int bytes = std::atoi(std::string(aRequest["X-Answer-Bytes"]).c_str());
    std::string body =
      bytes > 0 ? std::string(static_cast<std::size_t>(bytes), 'x') : "{}";
    short_answer answer =
      MakeAnswer(http::status::ok, std::move(body), aRequest.keep_alive());
    answer.set("X-Request-Id", aRequest["X-Request-Id"]);
    answer.set("X-Server-Stamp", "s");
    co_return answer;
  }

  void Malformed() {}

  std::vector<host_run> Runs()
  {
    std::scoped_lock lock(mMutex);
    return mRuns;
  }

  bool HasRun(const std::string& aRequest)
  {
    std::scoped_lock lock(mMutex);
    return mRequests.count(aRequest) > 0;
  }

  const endpoint mAddress;

private:
  boost::asio::ip::tcp::acceptor mAcceptor;
  connection_set mConnections;
  std::mutex mMutex;
  std::vector<host_run> mRuns;
  std::set<std::string> mRequests;
};

namespace {

void
StopTest(const std::string& aWhat, const std::string& aReason)
{
  std::fprintf(stderr, "%s: %s\n", aWhat.c_str(), aReason.c_str());
  std::exit(2);
}

} // namespace

hosts_deployment::hosts_deployment(std::string aSettings)
  : mExtraSettings(std::move(aSettings))
  , mContext(1)
  , mGuard(mContext.get_executor())
  , mStore(std::make_shared<store_standin>(mContext, FreeEndpoint()))
{
  std::string pattern = "/tmp/laburnumdyke-hosts-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) {
    StopTest(pattern, "can't be made");
  }
  mFolder = pattern;
  std::optional<std::string> failure = mStore->Start();
  if (failure) {
    StopTest("store", *failure);
  }
  Configure(1, {});
  mThread = std::thread([this]() { mContext.run(); });
}

hosts_deployment::~hosts_deployment()
{
  mDaemons.clear();
  mGuard.reset();
  mContext.stop();
  mThread.join();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
hosts_deployment::Configure(std::uint64_t aVersion,
                            const std::string& aCustomers)
{
  mStore->With([&](store_model& aRows) {
    aRows.Put("op", "config", Config(aVersion, aCustomers));
  });
}

void
hosts_deployment::AddUpstream(const std::string& aId)
{
  std::shared_ptr<host_upstream> added =
    std::make_shared<host_upstream>(mContext);
  std::optional<std::string> failure = added->Start();
  if (failure) {
    StopTest(aId, *failure);
  }
  mUpstreams[aId] = added;
  Register(aId, false);
}

void
hosts_deployment::Register(const std::string& aId, bool aDraining)
{
  std::string row =
    R"({"address":")" + mUpstreams.at(aId)->mAddress.Text() +
    R"(","born":1700000000123,"info":{"service":"s","version":"v1",)"
    R"("zone":"east-a","slots":8},"status":{"state":")" +
    (aDraining ? "draining" : "ready") + R"(","sequence":)" +
    std::to_string(++mSequences[aId]) + R"(,"cold-left-ms":0}})";
  mStore->With([&](store_model& aRows) { aRows.Put("servers", aId, row); });
}

std::vector<std::chrono::steady_clock::time_point>
hosts_deployment::Runs(const std::string& aId) const
{
  std::vector<std::chrono::steady_clock::time_point> begun;
  for (const host_run& run : mUpstreams.at(aId)->Runs()) {
    begun.push_back(run.mBegun);
  }
  return begun;
}

std::vector<host_run>
hosts_deployment::AllRuns() const
{
  std::vector<host_run> all;
  for (const std::pair<const std::string, std::shared_ptr<host_upstream>>& one :
       mUpstreams) {
    std::vector<host_run> runs = one.second->Runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  std::sort(
    all.begin(), all.end(), [](const host_run& aOne, const host_run& aOther) {
      return aOne.mBegun < aOther.mBegun;
    });
  return all;
}

bool
hosts_deployment::HasRun(const std::string& aRequest) const
{
  return std::any_of(
    mUpstreams.begin(),
    mUpstreams.end(),
    [&](const std::pair<const std::string, std::shared_ptr<host_upstream>>&
          aOne) { return aOne.second->HasRun(aRequest); });
}

std::string
hosts_deployment::Settings(const std::string& aName,
                           const hosts_daemon& aDaemon) const
{
  return "[instance]\nname = " + aName +
         "\nregion = east\nfailure_domain = east-a\nworkers = 1\n"
         "front = hosts\n[listen]\ncaller = " +
         aDaemon.mCaller.Text() + "\nready = " + aDaemon.mReady.Text() +
         "\ndirectory = " + FreeEndpoint().Text() +
         "\nrelay = " + FreeEndpoint().Text() +
         "\npeer = " + FreeEndpoint().Text() +
         "\noperator = " + FreeEndpoint().Text() +
         "\n[platform]\naddress = " + aDaemon.mStoreAddress.Text() +
         "\n[domains]\neast-a = east\n" + mExtraSettings;
}

bool
hosts_deployment::StartDaemon(const std::string& aName)
{
  hosts_daemon& started = mDaemons[aName];
  started.mCaller = FreeEndpoint();
  started.mReady = FreeEndpoint();
  started.mStoreAddress = FreeEndpoint();
  started.mStore =
    std::make_shared<store_entrance>(mContext, started.mStoreAddress, mStore);
  std::optional<std::string> failure = started.mStore->Start();
  if (failure) {
    StopTest("store of " + aName, *failure);
  }
  started.mLog = mFolder + "/" + aName + ".log";
  std::string file = mFolder + "/" + aName + ".ini";
  std::ofstream(file) << Settings(aName, started);
  started.mProcess =
    std::make_unique<process>(ProgramFolder() + "/laburnumdyked",
                              std::vector<std::string>{ "--config", file },
                              started.mLog);
  call_request ready;
  ready.mTo = started.mReady;
  ready.mTarget = "/laburnumdyke/readyz";
  return WaitUntil([&]() { return CallNow(ready).mStatus == 200; },
                   kStartLimit);
}

std::string
hosts_deployment::ReadLog(const std::string& aName) const
{
  std::ifstream file(mDaemons.at(aName).mLog, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

call_result
hosts_deployment::Send(const std::string& aName, const std::string& aRequest)
{
  return SendRequest(aName, { aRequest });
}

call_result
hosts_deployment::SendRequest(const std::string& aName,
                              const hosts_request& aRequest) const
{
  call_request request;
  request.mTo = mDaemons.at(aName).mCaller;
  request.mTarget = aRequest.mTarget;
  request.mHeaders = { { "Host", "a.example" },
                       { "X-Request-Id", aRequest.mId },
                       { "X-Deadline-Ms", "3000" } };
  request.mHeaders.insert(
    request.mHeaders.end(), aRequest.mHeaders.begin(), aRequest.mHeaders.end());
  return CallNow(request);
}

bool
hosts_deployment::StopDaemons()
{
  bool clean = true;
  for (std::pair<const std::string, hosts_daemon>& one : mDaemons) {
    one.second.mProcess->Signal(SIGTERM);
  }
  for (std::pair<const std::string, hosts_daemon>& one : mDaemons) {
    clean = one.second.mProcess->Wait(kStopLimit) == 0 && clean;
  }
  return clean;
}

} // namespace laburnumdyke
