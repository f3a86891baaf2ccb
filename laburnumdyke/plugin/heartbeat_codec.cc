// Field by field; whatever is not well formed makes the whole message none.
#include "laburnumdyke/plugin/heartbeat_codec.h"

#include "laburnumdyke/kernel/settings.h"
#include "laburnumdyke/proto/peer.pb.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// Slots at one upstream; more count as so many.
constexpr std::uint32_t kMostOccupied = 1U << 20U;

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

bool
TakeTime(std::uint64_t aMillis, std::chrono::milliseconds& aTarget)
{
  std::chrono::milliseconds longest = kLongestTime;
  bool inRange = aMillis <= static_cast<std::uint64_t>(longest.count());
  aTarget = std::chrono::milliseconds(inRange ? aMillis : 0);
  return inRange;
}

std::uint64_t
Millis(std::chrono::milliseconds aTime)
{
  return static_cast<std::uint64_t>(aTime.count());
}

bool
IsWithinLimits(const proto::heartbeat& aMessage)
{
  const proto::lease_message& lease = aMessage.lease();
  return aMessage.credits_size() <= kMostListed &&
         aMessage.known_peers_size() <= kMostListed &&
         lease.acks_size() <= kMostListed &&
         lease.reports_size() <= kMostListed &&
         lease.silent_size() <= kMostListed;
}

void
AddLease(const lease_message& aLease, proto::lease_message& aMessage)
{
  aMessage.set_eligible(aLease.mEligible);
  for (const lease_ack& ack : aLease.mAcks) {
    proto::lease_ack* one = aMessage.add_acks();
    one->set_instance(ack.mInstance.mValue);
    one->set_incarnation(ack.mIncarnation);
    one->set_sequence(ack.mSequence);
  }
  for (const upstream_report& report : aLease.mReports) {
    proto::upstream_report* one = aMessage.add_reports();
    one->set_upstream(report.mUpstream.mValue);
    one->set_holding(report.mHolding);
    one->set_occupied(report.mOccupied);
    one->set_busy_for_ms(Millis(report.mBusyFor));
  }
  for (const silent_report& silent : aLease.mSilent) {
    proto::silent_report* one = aMessage.add_silent();
    one->set_instance(silent.mInstance.mValue);
    one->set_incarnation(silent.mIncarnation);
    one->set_age_ms(Millis(silent.mAge));
  }
}

bool
TakeAcks(const proto::lease_message& aMessage, lease_message& aLease)
{
  for (const proto::lease_ack& ack : aMessage.acks()) {
    lease_ack one;
    one.mIncarnation = ack.incarnation();
    one.mSequence = ack.sequence();
    if (!TakeName(ack.instance(), one.mInstance.mValue)) {
      return false;
    }
    aLease.mAcks.push_back(std::move(one));
  }
  return true;
}

bool
TakeReports(const proto::lease_message& aMessage, lease_message& aLease)
{
  for (const proto::upstream_report& report : aMessage.reports()) {
    upstream_report one;
    one.mHolding = report.holding();
    one.mOccupied = std::min(report.occupied(), kMostOccupied);
    bool isWhole = TakeName(report.upstream(), one.mUpstream.mValue) &&
                   TakeTime(report.busy_for_ms(), one.mBusyFor);
    if (!isWhole) {
      return false;
    }
    aLease.mReports.push_back(std::move(one));
  }
  return true;
}

bool
TakeSilent(const proto::lease_message& aMessage, lease_message& aLease)
{
  for (const proto::silent_report& silent : aMessage.silent()) {
    silent_report one;
    one.mIncarnation = silent.incarnation();
    bool isWhole = TakeName(silent.instance(), one.mInstance.mValue) &&
                   TakeTime(silent.age_ms(), one.mAge);
    if (!isWhole) {
      return false;
    }
    aLease.mSilent.push_back(std::move(one));
  }
  return true;
}

bool
TakeLease(const proto::lease_message& aMessage, lease_message& aLease)
{
  aLease.mEligible = aMessage.eligible();
  return TakeAcks(aMessage, aLease) && TakeReports(aMessage, aLease) &&
         TakeSilent(aMessage, aLease);
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
  message.set_stamp_ms(Millis(aHeartbeat.mStamp));
  for (const service_credit& credit : aHeartbeat.mCredits) {
    proto::service_credit* one = message.add_credits();
    one->set_service(credit.mService.mValue);
    one->set_slots(credit.mSlots);
    one->set_free(credit.mFree);
  }
  for (const endpoint& known : aHeartbeat.mKnownPeers) {
    message.add_known_peers(known.Text());
  }
  AddLease(aHeartbeat.mLease, *message.mutable_lease());
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
  bool isWhole = parsed && IsWithinLimits(message) &&
                 TakeSender(message, result.mSender) &&
                 TakeTime(message.stamp_ms(), result.mStamp) &&
                 TakeLease(message.lease(), result.mLease);
  if (!isWhole) {
    return std::nullopt;
  }
  result.mSequence = message.sequence();
  result.mVersion = message.version();
  result.mContentHash = message.content_hash();
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
