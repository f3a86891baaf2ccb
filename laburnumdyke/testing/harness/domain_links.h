// The links between the failure domains of a deployment: heartbeats and relayed
// requests between two domains pass here, so that a test can cut them between
// instances that know each other.
//
// Usage:
//   domain_links links(relays);
//   links.Add({ "leinster-a-1", "leinster-a", peer, relay });
//   links.Open();
//   links.SetCut("leinster-a", "munster-a", true);
//
// Each instance has one address for heartbeats and one for relayed requests in
// every other domain. A heartbeat that passes has the addresses in it replaced
// by those of the receiver's domain, as a translating router would do, so that
// no instance learns an address which leads round the link. A cut loses
// heartbeats and closes connections, both ways.
#pragma once

#include "laburnumdyke/decision/membership.h"
#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/harness/link_set.h"

#include <zmq.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace laburnumdyke {

struct linked_instance
{
  std::string mName;
  std::string mDomain;
  endpoint mPeer; // its own addresses
  endpoint mRelay;
};

class domain_links
{
public:
  // aRelays carries the relayed requests; aFree gives a free endpoint.
  domain_links(link_set& aRelays, std::function<endpoint()> aFree);
  ~domain_links();
  domain_links(const domain_links&) = delete;
  domain_links& operator=(const domain_links&) = delete;

  // Before Open.
  void Add(const linked_instance& aInstance);

  // Listens at every address.
  void Open();

  // May be called from any thread, also before Open.
  void SetCut(const std::string& aDomain, const std::string& aOther, bool aCut);

  // Where aInstance takes heartbeats from instances of aFromDomain.
  endpoint PeerOf(const std::string& aInstance,
                  const std::string& aFromDomain) const;

private:
  using domain_pair = std::pair<std::string, std::string>; // from, to

  // The way of heartbeats to one instance from one domain.
  struct heartbeat_way
  {
    std::string mFromDomain;
    linked_instance mTo;
    endpoint mNearPeer;
    endpoint mNearRelay;
    zmq::socket_t mReceiver;
    zmq::socket_t mSender;
  };

  std::string RelayLink(const heartbeat_way& aWay) const;
  const heartbeat_way* FindWay(const std::string& aInstance,
                               const std::string& aFromDomain) const;
  bool IsCut(const std::string& aFrom, const std::string& aTo);
  void Carry();
  void Pass(heartbeat_way& aWay);
  // The heartbeat as an instance of aDomain may see it.
  void Translate(heartbeat& aHeartbeat, const std::string& aDomain) const;
  std::optional<std::string> NameOf(const endpoint& aPeer) const;

  link_set& mRelays;
  std::function<endpoint()> mFree;
  zmq::context_t mZmq;
  std::map<std::string, linked_instance> mInstances; // by name
  std::vector<heartbeat_way> mWays;
  std::mutex mMutex; // guards mCut
  std::set<domain_pair> mCut;
  std::atomic<bool> mStop{ false };
  std::thread mCarrier;
};

} // namespace laburnumdyke
