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
#include "laburnumdyke/testing/harness/domain_links.h"
#include "laburnumdyke/testing/harness/link_set.h"
#include "laburnumdyke/testing/harness/process.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
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

// Links that a test can cut; without them processes connect directly.
struct deployment_options
{
  bool mPlatformLinks = false; // one for each daemon, named PlatformLink
  bool mDomainLinks = false;   // between failure domains; see CutDomains
  bool mUpstreamLinks = false; // one for each upstream, under its name
};

std::string
PlatformLink(const std::string& aDaemon);

// The end of a program that ran to its end.
struct tool_result
{
  std::optional<int> mStatus; // nothing where it did not end in time
  std::string mOutput;
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
  explicit deployment(deployment_options aOptions = {});
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

  // The same, on another platform than the deployment's own.
  static bool SubmitTo(const endpoint& aPlatform,
                       std::uint64_t aVersion,
                       const std::string& aText);

  // Starts a second platform's stand-in with the first document alone, as a
  // replica whose reads lag; returns its address.
  endpoint StartLaggingPlatform();

  // The platform that a daemon is given at its next start.
  void UsePlatform(const std::string& aName, const endpoint& aPlatform);

  // True once every running daemon has the version in force and sees all
  // others.
  bool WaitForVersion(std::uint64_t aVersion, std::chrono::milliseconds aLimit);

  // True once every slot of a failure domain that has daemons has a home among
  // the running ones.
  bool WaitForHomes(std::chrono::milliseconds aLimit);

  // The links of the options, to cut.
  link_set& Links() { return *mLinks; }

  // Cuts the links between two failure domains, or joins them again.
  void CutDomains(const std::string& aDomain,
                  const std::string& aOther,
                  bool aCut);

  // Switches faults of stand-ins; aFaults is the JSON that their control pages
  // take.
  void SetPlatform(const std::string& aFaults) const;
  void SetUpstream(const std::string& aName, const std::string& aFaults) const;

  // Starts laburnumctl with a log of its own in the folder.
  process StartTool(const std::vector<std::string>& aArguments,
                    const std::string& aLog) const;

  // Runs laburnumctl to its end.
  tool_result RunTool(const std::vector<std::string>& aArguments) const;

  // What a process has printed into its log in the folder.
  std::string ReadLog(const std::string& aLog) const;

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
  // Slots of upstreams in the failure domains that have daemons.
  std::uint64_t SlotsWithEntries() const;
  std::string Settings(const std::string& aName) const;
  std::string Seeds(const std::string& aDomain) const;
  void OpenLinks();
  void OpenLink(const std::string& aName, const endpoint& aTo);
  void StartPlatform(const endpoint& aListen);
  void StartStandIns();
  const std::string& FirstDaemon(const std::string& aDomain) const;

  deployment_options mOptions;
  std::unique_ptr<link_set> mLinks; // none where no option asks for links
  std::unique_ptr<domain_links> mDomainLinks;
  std::map<std::string, endpoint> mNearEnds; // by name of the link
  std::string mFolder;                       // of settings and logs
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
