// A small deployment of real processes on loopback: the platform's stand-in,
// upstream stand-ins and daemons, each with ports of its own.
//
// Usage:
//   deployment one(programs folder);
//   one.AddDomain("leinster-a", "leinster");
//   one.AddUpstream({ "booking-1", "booking", "leinster-a", 3 });
//   one.AddDaemon("leinster-a-1", "leinster-a");
//   one.Start(document head);   // regions, services, ranks, links, blocks
//   one.WaitForVersion(1);
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/harness/process.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

struct upstream_plan
{
  std::string mName;
  std::string mService;
  std::string mDomain;
  unsigned mSlots = 3;
};

struct daemon_addresses
{
  endpoint mCaller;
  endpoint mRelay;
  endpoint mPeer;
  endpoint mOperator;
};

// A free port on loopback, by asking the system for one.
endpoint
FreeEndpoint();

// Polls until aCondition holds; false where it did not within aLimit.
bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aLimit);

// Where laburnumdyked and the stand-ins are: the folder above that of the
// running program.
std::string
ProgramFolder();

class deployment
{
public:
  deployment();
  ~deployment();

  void AddDomain(const std::string& aDomain, const std::string& aRegion);
  void AddUpstream(const upstream_plan& aPlan);
  void AddDaemon(const std::string& aName, const std::string& aDomain);

  // Starts every process and submits the first document: aHead with a section
  // for each failure domain and upstream added to it.
  void Start(const std::string& aHead);

  // Starts a daemon again, on the same addresses.
  void StartDaemon(const std::string& aName);

  // The whole document, with the named upstreams marked as leaving.
  std::string Document(const std::vector<std::string>& aLeaving) const;

  // Writes a document past the tool; the caller states the next version.
  // True where the platform took it.
  bool Submit(std::uint64_t aVersion, const std::string& aText);

  // True once every running daemon has the version in force and sees all
  // others.
  bool WaitForVersion(std::uint64_t aVersion, std::chrono::milliseconds aLimit);

  // True once every slot has a home among the running daemons.
  bool WaitForHomes(std::chrono::milliseconds aLimit);

  process& Daemon(const std::string& aName) { return mDaemons.at(aName); }
  const daemon_addresses& Addresses(const std::string& aName) const
  {
    return mAddresses.at(aName);
  }
  const std::vector<std::string>& DaemonNames() const { return mNames; }
  const std::vector<upstream_plan>& Upstreams() const { return mPlans; }
  const endpoint& UpstreamAddress(const std::string& aName) const
  {
    return mUpstreamAddresses.at(aName);
  }
  const endpoint& Platform() const { return mPlatform; }
  const std::string& Folder() const { return mFolder; }

  // The JSON of /v1/status; empty where the daemon does not answer.
  std::string Status(const std::string& aName) const;

private:
  std::string Settings(const std::string& aName) const;

  std::string mFolder; // of settings and logs
  endpoint mPlatform;
  std::string mHead;
  std::map<std::string, std::string> mRegionOf; // by failure domain
  std::vector<upstream_plan> mPlans;
  std::vector<std::string> mNames;
  std::map<std::string, std::string> mDomainOf; // by daemon
  std::map<std::string, daemon_addresses> mAddresses;
  std::map<std::string, endpoint> mUpstreamAddresses;
  std::map<std::string, process> mDaemons;
  std::vector<process> mStandIns;
};

} // namespace laburnumdyke
