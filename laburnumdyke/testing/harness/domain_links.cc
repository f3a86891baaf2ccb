// One thread waits on the receiving sockets of all ways. Every address of an
// instance, its own or one of a link, leads back to its name, and from there to
// the address that the receiver's domain has for it.
#include "laburnumdyke/testing/harness/domain_links.h"

#include "laburnumdyke/plugin/heartbeat_codec.h"

#include <cstdio>
#include <cstdlib>

namespace laburnumdyke {

namespace {

// Between looks at whether the links are being closed.
constexpr std::chrono::milliseconds kPollLimit{ 100 };

} // namespace

domain_links::domain_links(link_set& aRelays, std::function<endpoint()> aFree)
  : mRelays(aRelays)
  , mFree(std::move(aFree))
{
}

domain_links::~domain_links()
{
  mStop = true;
  if (mCarrier.joinable()) {
    mCarrier.join();
  }
}

void
domain_links::Add(const linked_instance& aInstance)
{
  mInstances[aInstance.mName] = aInstance;
}

std::string
domain_links::RelayLink(const heartbeat_way& aWay) const
{
  return "relay of " + aWay.mTo.mName + " from " + aWay.mFromDomain;
}

void
domain_links::Open()
{
  std::set<std::string> domains;
  for (const std::pair<const std::string, linked_instance>& one : mInstances) {
    domains.insert(one.second.mDomain);
  }
  for (const std::string& from : domains) {
    for (const std::pair<const std::string, linked_instance>& one :
         mInstances) {
      if (one.second.mDomain == from) {
        continue;
      }
      heartbeat_way way{ from,
                         one.second,
                         mFree(),
                         mFree(),
                         zmq::socket_t(mZmq, zmq::socket_type::pull),
                         zmq::socket_t(mZmq, zmq::socket_type::push) };
      way.mReceiver.set(zmq::sockopt::linger, 0);
      way.mSender.set(zmq::sockopt::linger, 0);
      way.mReceiver.bind("tcp://" + way.mNearPeer.Text());
      way.mSender.connect("tcp://" + way.mTo.mPeer.Text());
      mRelays.Open(RelayLink(way), way.mNearRelay, way.mTo.mRelay);
      mRelays.Set(RelayLink(way), { .mCut = IsCut(from, one.second.mDomain) });
      mWays.push_back(std::move(way));
    }
  }
  mCarrier = std::thread([this]() { Carry(); });
}

void
domain_links::SetCut(const std::string& aDomain,
                     const std::string& aOther,
                     bool aCut)
{
  {
    std::lock_guard<std::mutex> lock(mMutex);
    for (const domain_pair& pair :
         { domain_pair(aDomain, aOther), domain_pair(aOther, aDomain) }) {
      if (aCut) {
        mCut.insert(pair);
      } else {
        mCut.erase(pair);
      }
    }
  }
  for (const heartbeat_way& way : mWays) {
    mRelays.Set(RelayLink(way),
                { .mCut = IsCut(way.mFromDomain, way.mTo.mDomain) });
  }
}

bool
domain_links::IsCut(const std::string& aFrom, const std::string& aTo)
{
  std::lock_guard<std::mutex> lock(mMutex);
  return mCut.count({ aFrom, aTo }) > 0;
}

const domain_links::heartbeat_way*
domain_links::FindWay(const std::string& aInstance,
                      const std::string& aFromDomain) const
{
  for (const heartbeat_way& way : mWays) {
    if (way.mTo.mName == aInstance && way.mFromDomain == aFromDomain) {
      return &way;
    }
  }
  return nullptr;
}

endpoint
domain_links::PeerOf(const std::string& aInstance,
                     const std::string& aFromDomain) const
{
  const heartbeat_way* way = FindWay(aInstance, aFromDomain);
  return way == nullptr ? mInstances.at(aInstance).mPeer : way->mNearPeer;
}

void
domain_links::Carry()
{
  std::vector<zmq::pollitem_t> items;
  for (heartbeat_way& way : mWays) {
    items.push_back({ way.mReceiver.handle(), 0, ZMQ_POLLIN, 0 });
  }
  while (!mStop) {
    zmq::poll(items, kPollLimit);
    for (std::size_t i = 0; i < items.size(); ++i) {
      if ((items[i].revents & ZMQ_POLLIN) != 0) {
        Pass(mWays[i]);
      }
    }
  }
}

void
domain_links::Pass(heartbeat_way& aWay)
{
  zmq::message_t message;
  while (aWay.mReceiver.recv(message, zmq::recv_flags::dontwait)) {
    std::optional<heartbeat> passing = DecodeHeartbeat(
      { static_cast<const char*>(message.data()), message.size() });
    if (!passing || IsCut(aWay.mFromDomain, aWay.mTo.mDomain)) {
      continue;
    }
    Translate(*passing, aWay.mTo.mDomain);
    std::string bytes = EncodeHeartbeat(*passing);
    aWay.mSender.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  }
}

void
domain_links::Translate(heartbeat& aHeartbeat, const std::string& aDomain) const
{
  member& sender = aHeartbeat.mSender;
  const heartbeat_way* back = FindWay(sender.mInstance.mValue, aDomain);
  if (back != nullptr) {
    sender.mPeer = back->mNearPeer;
    sender.mRelay = back->mNearRelay;
  }
  for (endpoint& known : aHeartbeat.mKnownPeers) {
    std::optional<std::string> name = NameOf(known);
    if (name) {
      known = PeerOf(*name, aDomain);
    }
  }
}

std::optional<std::string>
domain_links::NameOf(const endpoint& aPeer) const
{
  for (const std::pair<const std::string, linked_instance>& one : mInstances) {
    if (one.second.mPeer == aPeer) {
      return one.first;
    }
  }
  for (const heartbeat_way& way : mWays) {
    if (way.mNearPeer == aPeer) {
      return way.mTo.mName;
    }
  }
  return std::nullopt;
}

} // namespace laburnumdyke
