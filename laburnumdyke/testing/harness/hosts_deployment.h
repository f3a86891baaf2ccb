// Daemons that steer by host and path, as real processes, with the users'
// store and upstreams in the test's own process.
//
// Usage:
//   hosts_deployment deployed;
//   deployed.AddUpstream("i-1");
//   CHECK(deployed.StartDaemon("one"));     // returns once it is ready
//   call_result answer = deployed.Send("one", "request-1");
//
// There are one failure domain and one service. Requests under /x/ may be
// repeated, those under /book/ run once at most. The header X-Work-Ms says how
// long an upstream works on a request, X-Answer-Bytes how large its answer's
// body is. Requests under /open/ need no key.
//
// Customers and settings beyond the harness's own:
//   hosts_deployment deployed("[bounds]\nrevoke_timeout = 2s\n");
//   deployed.Configure(2, R"([{"name":"alpha","api-keys":["k"]}])");
//   deployed.SendRequest("one", { "request-1", "/x/1", { { "X-Key", "k" } } });
#pragma once

#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/process.h"
#include "laburnumdyke/testing/standin/store_standin.h"

#include <boost/asio/executor_work_guard.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace laburnumdyke {

// Answers every request, and notes when each began.
class host_upstream;

// A request as it reached an upstream.
struct host_run
{
  std::chrono::steady_clock::time_point mBegun;
  std::string mRequest;
  std::string mCustomer; // as named to the upstream
  bool mHasKey = false;  // the key of the customer arrived as well
};

struct hosts_request
{
  std::string mId;
  std::string mTarget = "/x/1";
  std::vector<std::pair<std::string, std::string>> mHeaders{};
};

struct hosts_daemon
{
  endpoint mCaller;
  endpoint mReady;
  endpoint mStoreAddress;
  std::shared_ptr<store_entrance> mStore;
  std::unique_ptr<process> mProcess;
  std::string mLog; // its file
};

class hosts_deployment
{
public:
  // aSettings is added to the settings of each daemon.
  explicit hosts_deployment(std::string aSettings = {});
  ~hosts_deployment();
  hosts_deployment(const hosts_deployment&) = delete;
  hosts_deployment& operator=(const hosts_deployment&) = delete;

  store_standin& Store() { return *mStore; }

  // Lines that end the settings of daemons started from now on.
  void SetExtraSettings(std::string aLines)
  {
    mExtraSettings = std::move(aLines);
  }
  // Writes a version of the configuration with customers: a JSON list, or
  // nothing for a configuration without them.
  void Configure(std::uint64_t aVersion, const std::string& aCustomers);

  // Starts an upstream and registers it.
  void AddUpstream(const std::string& aId);

  // Its row, as it writes it itself.
  void Register(const std::string& aId, bool aDraining);

  std::vector<std::chrono::steady_clock::time_point> Runs(
    const std::string& aId) const;

  // Of all upstreams, in order of time.
  std::vector<host_run> AllRuns() const;

  // Whether an upstream has begun to run the request.
  bool HasRun(const std::string& aRequest) const;

  // False where it is not ready in time.
  bool StartDaemon(const std::string& aName);

  const hosts_daemon& Daemon(const std::string& aName) const
  {
    return mDaemons.at(aName);
  }
  std::string ReadLog(const std::string& aName) const;

  call_result Send(const std::string& aName, const std::string& aRequest);
  call_result SendRequest(const std::string& aName,
                          const hosts_request& aRequest) const;

  // Whether every daemon ends with status 0 after SIGTERM.
  bool StopDaemons();

private:
  std::string Settings(const std::string& aName,
                       const hosts_daemon& aDaemon) const;

  std::string mFolder;
  std::string mExtraSettings;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::shared_ptr<store_standin> mStore;
  std::map<std::string, std::shared_ptr<host_upstream>> mUpstreams;
  std::map<std::string, std::uint64_t> mSequences;
  std::map<std::string, hosts_daemon> mDaemons;
  std::thread mThread;
};

} // namespace laburnumdyke
