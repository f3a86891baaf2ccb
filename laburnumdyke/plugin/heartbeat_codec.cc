// Decodes field by field. One invalid field rejects the entire message.
#include "laburnumdyke/plugin/heartbeat_codec.h"

#include "laburnumdyke/kernel/settings.h"
#include "laburnumdyke/plugin/member_codec.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

// Slots at one upstream; larger values are clamped to this.
constexpr std::uint32_t kMaxOccupied = 1U << 20U;

bool
DecodeName(const std::string& aText, std::string& aTarget)
{
  aTarget = aText;
  return IsName(aText);
}

bool
DecodeEndpoint(const std::string& aText, endpoint& aTarget)
{
  std::optional<endpoint> parsed = ParseEndpoint(aText);
  if (parsed) {
    aTarget = *parsed;
  }
  return parsed.has_value();
}

bool
DecodeMember(const proto::member& aMessage, member& aSender)
{
  aSender.mIncarnation = aMessage.incarnation();
  return DecodeName(aMessage.instance(), aSender.mInstance.mValue) &&
         DecodeName(aMessage.region(), aSender.mRegion.mValue) &&
         DecodeName(aMessage.failure_domain(), aSender.mDomain.mValue) &&
         DecodeEndpoint(aMessage.caller(), aSender.mCaller) &&
         DecodeEndpoint(aMessage.relay(), aSender.mRelay) &&
         DecodeEndpoint(aMessage.peer(), aSender.mPeer);
}

// A full heartbeat contains every part; a delta heartbeat identifies its sender
// by key and may omit the document and the credits.
bool
DecodeSender(const proto::heartbeat& aMessage, heartbeat& aResult)
{
  aResult.mSender.mLeaving = aMessage.leaving();
  aResult.mSameDocument = !aMessage.has_document();
  aResult.mSameCredits = !aMessage.has_credits();
  if (aMessage.has_sender()) {
    return aMessage.sender_key() == 0 && aMessage.has_document() &&
           aMessage.has_credits() && aMessage.load().empty() &&
           !aMessage.lease().same_holdings() &&
           DecodeMember(aMessage.sender(), aResult.mSender);
  }
  aResult.mDeltaSender = aMessage.sender_key();
  return aMessage.sender_key() != 0;
}

bool
DecodeDuration(std::uint64_t aMillis, std::chrono::milliseconds& aTarget)
{
  std::chrono::milliseconds maxDuration = kMaxDuration;
  bool inRange = aMillis <= static_cast<std::uint64_t>(maxDuration.count());
  aTarget = std::chrono::milliseconds(inRange ? aMillis : 0);
  return inRange;
}

std::uint64_t
ToMillis(std::chrono::milliseconds aDuration)
{
  return static_cast<std::uint64_t>(aDuration.count());
}

bool
IsWithinLimits(const proto::heartbeat& aMessage)
{
  const proto::lease_message& lease = aMessage.lease();
  return aMessage.credits().credits_size() <= kMaxListEntries &&
         aMessage.load_size() <= 2 * kMaxListEntries &&
         aMessage.known_peers_size() <= kMaxListEntries &&
         lease.acks_size() <= kMaxListEntries &&
         lease.asked_size() <= kMaxListEntries &&
         lease.reports_size() <= kMaxListEntries &&
         lease.silent_size() <= kMaxListEntries;
}

using ack_list = google::protobuf::RepeatedPtrField<proto::lease_ack>;

void
EncodeAcks(const std::vector<lease_ack>& aAcks, ack_list& aMessage)
{
  for (const lease_ack& ack : aAcks) {
    proto::lease_ack* one = aMessage.Add();
    one->set_member(ack.mMember);
    one->set_sequence(ack.mSequence);
  }
}

void
EncodeLease(const lease_message& aLease, proto::lease_message& aMessage)
{
  aMessage.set_eligible(aLease.mEligible);
  aMessage.set_same_holdings(aLease.mSameHoldings);
  EncodeAcks(aLease.mAcks, *aMessage.mutable_acks());
  EncodeAcks(aLease.mAsked, *aMessage.mutable_asked());
  for (const upstream_report& report : aLease.mReports) {
    proto::upstream_report* one = aMessage.add_reports();
    one->set_upstream(report.mUpstream.mValue);
    one->set_holding(report.mHolding);
    one->set_occupied(report.mOccupied);
    one->set_busy_for_ms(ToMillis(report.mBusyFor));
  }
  for (const silent_report& silent : aLease.mSilent) {
    proto::silent_report* one = aMessage.add_silent();
    one->set_instance(silent.mInstance.mValue);
    one->set_incarnation(silent.mIncarnation);
    one->set_age_ms(ToMillis(silent.mAge));
  }
}

bool
DecodeAcks(const ack_list& aMessage, std::vector<lease_ack>& aAcks)
{
  for (const proto::lease_ack& ack : aMessage) {
    if (ack.member() == 0) {
      return false;
    }
    aAcks.push_back({ ack.member(), ack.sequence() });
  }
  return true;
}

bool
DecodeReports(const proto::lease_message& aMessage, lease_message& aLease)
{
  for (const proto::upstream_report& report : aMessage.reports()) {
    upstream_report one;
    one.mHolding = report.holding();
    one.mOccupied = std::min(report.occupied(), kMaxOccupied);
    bool isValid = DecodeName(report.upstream(), one.mUpstream.mValue) &&
                   DecodeDuration(report.busy_for_ms(), one.mBusyFor);
    if (!isValid) {
      return false;
    }
    aLease.mReports.push_back(std::move(one));
  }
  return true;
}

bool
DecodeSilentReports(const proto::lease_message& aMessage, lease_message& aLease)
{
  for (const proto::silent_report& silent : aMessage.silent()) {
    silent_report one;
    one.mIncarnation = silent.incarnation();
    bool isValid = DecodeName(silent.instance(), one.mInstance.mValue) &&
                   DecodeDuration(silent.age_ms(), one.mAge);
    if (!isValid) {
      return false;
    }
    aLease.mSilent.push_back(std::move(one));
  }
  return true;
}

bool
DecodeLease(const proto::lease_message& aMessage, lease_message& aLease)
{
  aLease.mEligible = aMessage.eligible();
  aLease.mSameHoldings = aMessage.same_holdings();
  return DecodeAcks(aMessage.acks(), aLease.mAcks) &&
         DecodeAcks(aMessage.asked(), aLease.mAsked) &&
         DecodeReports(aMessage, aLease) &&
         DecodeSilentReports(aMessage, aLease);
}

void
EncodeCredits(const std::vector<service_credit>& aCredits,
              proto::credit_report& aMessage)
{
  for (const service_credit& credit : aCredits) {
    proto::service_credit* one = aMessage.add_credits();
    one->set_service(credit.mService.mValue);
    one->set_slots(credit.mSlots);
    one->set_free(credit.mFree);
    one->set_waiting(credit.mWaiting);
  }
}

bool
DecodeCredits(const proto::credit_report& aMessage,
              std::vector<service_credit>& aCredits)
{
  for (const proto::service_credit& credit : aMessage.credits()) {
    service_credit one;
    one.mSlots = credit.slots();
    one.mFree = credit.free();
    one.mWaiting = credit.waiting();
    if (!DecodeName(credit.service(), one.mService.mValue)) {
      return false;
    }
    aCredits.push_back(std::move(one));
  }
  return true;
}

} // namespace

std::string
EncodeHeartbeat(const heartbeat& aHeartbeat)
{
  proto::heartbeat message;
  if (aHeartbeat.mDeltaSender) {
    message.set_sender_key(*aHeartbeat.mDeltaSender);
  } else {
    WriteMember(aHeartbeat.mSender, *message.mutable_sender());
  }
  message.set_leaving(aHeartbeat.mSender.mLeaving);
  message.set_sequence(aHeartbeat.mSequence);
  message.set_stamp_ms(ToMillis(aHeartbeat.mStamp));
  if (!aHeartbeat.mSameDocument) {
    message.mutable_document()->set_version(aHeartbeat.mVersion);
    message.mutable_document()->set_content_hash(aHeartbeat.mContentHash);
  }
  if (!aHeartbeat.mSameCredits) {
    EncodeCredits(aHeartbeat.mCredits, *message.mutable_credits());
  }
  message.mutable_load()->Add(aHeartbeat.mLoad.begin(), aHeartbeat.mLoad.end());
  for (const endpoint& known : aHeartbeat.mKnownPeers) {
    message.add_known_peers(known.Text());
  }
  EncodeLease(aHeartbeat.mLease, *message.mutable_lease());
  return message.SerializeAsString();
}

std::optional<heartbeat>
DecodeHeartbeat(std::string_view aBytes)
{
  proto::heartbeat message;
  bool parsed =
    aBytes.size() <= kMaxHeartbeatBytes &&
    message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  heartbeat result;
  bool isValid = parsed && IsWithinLimits(message) &&
                 DecodeSender(message, result) &&
                 DecodeDuration(message.stamp_ms(), result.mStamp) &&
                 DecodeCredits(message.credits(), result.mCredits) &&
                 DecodeLease(message.lease(), result.mLease);
  if (!isValid) {
    return std::nullopt;
  }
  result.mSequence = message.sequence();
  result.mLoad.assign(message.load().begin(), message.load().end());
  result.mVersion = message.document().version();
  result.mContentHash = message.document().content_hash();
  for (const std::string& known : message.known_peers()) {
    endpoint one;
    if (!DecodeEndpoint(known, one)) {
      return std::nullopt;
    }
    result.mKnownPeers.push_back(one);
  }
  return result;
}

} // namespace laburnumdyke
