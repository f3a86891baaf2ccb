// A heartbeat that identifies its sender neither by name nor by key is
// rejected.
#include "laburnumdyke/plugin/fleet_codec.h"

#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/plugin/member_codec.h"

namespace laburnumdyke {

namespace {

// Returns nullopt if the instance name is empty or an address is invalid.
std::optional<fleet_member>
DecodeMember(const proto::member& aSender)
{
  std::optional<endpoint> caller = ParseEndpoint(aSender.caller());
  std::optional<endpoint> relay = ParseEndpoint(aSender.relay());
  std::optional<endpoint> peer = ParseEndpoint(aSender.peer());
  if (aSender.instance().empty() || !caller || !relay || !peer) {
    return std::nullopt;
  }
  fleet_member member;
  member.mInstance = { aSender.instance() };
  member.mIncarnation = aSender.incarnation();
  member.mRegion = { aSender.region() };
  member.mDomain = { aSender.failure_domain() };
  member.mCaller = *caller;
  member.mPeer = *peer;
  member.mRelay = *relay;
  return member;
}

} // namespace

std::string
EncodeFleetHeartbeat(const fleet_heartbeat& aHeartbeat,
                     fleet_heartbeat_form aForm)
{
  proto::fleet_heartbeat message;
  if (aForm == fleet_heartbeat_form::Full) {
    WriteMember(aHeartbeat.mSender, *message.mutable_sender());
  } else {
    message.set_sender_key(
      KeyOf(aHeartbeat.mSender.mInstance, aHeartbeat.mSender.mIncarnation));
  }
  message.set_serving(aHeartbeat.mServing);
  message.set_leaving(aHeartbeat.mLeaving);
  message.set_control_version(aHeartbeat.mControlVersion.mVersion);
  message.set_store_era(aHeartbeat.mControlVersion.mEra);
  message.set_document_version(aHeartbeat.mDocumentVersion);
  message.set_settled(aHeartbeat.mSettled);
  return message.SerializeAsString();
}

std::optional<fleet_heartbeat>
DecodeFleetHeartbeat(std::string_view aBytes)
{
  proto::fleet_heartbeat message;
  bool parsed =
    aBytes.size() <= kMaxFleetHeartbeatBytes &&
    message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (!parsed) {
    return std::nullopt;
  }
  fleet_heartbeat heartbeat;
  if (message.has_sender()) {
    std::optional<fleet_member> sender = DecodeMember(message.sender());
    if (!sender) {
      return std::nullopt;
    }
    heartbeat.mSender = std::move(*sender);
  } else if (message.sender_key() == 0) {
    return std::nullopt;
  }
  heartbeat.mSenderKey = message.sender_key();
  heartbeat.mServing = message.serving();
  heartbeat.mLeaving = message.leaving();
  heartbeat.mControlVersion = { message.store_era(),
                                message.control_version() };
  heartbeat.mDocumentVersion = message.document_version();
  heartbeat.mSettled = message.settled();
  return heartbeat;
}

} // namespace laburnumdyke
