// Field by field; whatever is not well formed makes the whole message none.
#include "laburnumdyke/plugin/heartbeat_codec.h"

#include "laburnumdyke/kernel/settings.h"
#include "laburnumdyke/proto/peer.pb.h"

namespace laburnumdyke {

namespace {

bool
TakeName(const std::string& aText, std::string& aTarget)
{
  aTarget = aText;
  return IsName(aText);
}

bool
TakeEndpoint(const std::string& aText, endpoint& aTarget)
{
  std::optional<endpoint> parsed = ParseEndpoint(aText);
  if (parsed) {
    aTarget = *parsed;
  }
  return parsed.has_value();
}

bool
TakeSender(const proto::heartbeat& aMessage, member& aSender)
{
  aSender.mIncarnation = aMessage.incarnation();
  aSender.mLeaving = aMessage.leaving();
  return TakeName(aMessage.instance(), aSender.mInstance.mValue) &&
         TakeName(aMessage.region(), aSender.mRegion.mValue) &&
         TakeName(aMessage.failure_domain(), aSender.mDomain.mValue) &&
         TakeEndpoint(aMessage.caller(), aSender.mCaller) &&
         TakeEndpoint(aMessage.relay(), aSender.mRelay) &&
         TakeEndpoint(aMessage.peer(), aSender.mPeer);
}

} // namespace

std::string
EncodeHeartbeat(const heartbeat& aHeartbeat)
{
  proto::heartbeat message;
  const member& sender = aHeartbeat.mSender;
  message.set_instance(sender.mInstance.mValue);
  message.set_incarnation(sender.mIncarnation);
  message.set_region(sender.mRegion.mValue);
  message.set_failure_domain(sender.mDomain.mValue);
  message.set_caller(sender.mCaller.Text());
  message.set_relay(sender.mRelay.Text());
  message.set_peer(sender.mPeer.Text());
  message.set_leaving(sender.mLeaving);
  message.set_sequence(aHeartbeat.mSequence);
  message.set_version(aHeartbeat.mVersion);
  message.set_content_hash(aHeartbeat.mContentHash);
  message.set_stamp_ms(static_cast<std::uint64_t>(aHeartbeat.mStamp.count()));
  for (const service_credit& credit : aHeartbeat.mCredits) {
    proto::service_credit* one = message.add_credits();
    one->set_service(credit.mService.mValue);
    one->set_slots(credit.mSlots);
    one->set_free(credit.mFree);
  }
  for (const endpoint& known : aHeartbeat.mKnownPeers) {
    message.add_known_peers(known.Text());
  }
  return message.SerializeAsString();
}

std::optional<heartbeat>
DecodeHeartbeat(std::string_view aBytes)
{
  proto::heartbeat message;
  bool parsed =
    aBytes.size() <= kLongestHeartbeat &&
    message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  heartbeat result;
  if (!parsed || !TakeSender(message, result.mSender)) {
    return std::nullopt;
  }
  result.mSequence = message.sequence();
  result.mVersion = message.version();
  result.mContentHash = message.content_hash();
  result.mStamp = std::chrono::milliseconds(message.stamp_ms());
  for (const proto::service_credit& credit : message.credits()) {
    service_credit one;
    one.mSlots = credit.slots();
    one.mFree = credit.free();
    if (!TakeName(credit.service(), one.mService.mValue)) {
      return std::nullopt;
    }
    result.mCredits.push_back(one);
  }
  for (const std::string& known : message.known_peers()) {
    endpoint one;
    if (!TakeEndpoint(known, one)) {
      return std::nullopt;
    }
    result.mKnownPeers.push_back(one);
  }
  return result;
}

} // namespace laburnumdyke
