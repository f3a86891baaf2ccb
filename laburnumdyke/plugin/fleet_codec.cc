// A beat that names no sender, by name or by key, is none.
#include "laburnumdyke/plugin/fleet_codec.h"

#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/plugin/member_codec.h"

namespace laburnumdyke {

namespace {

// Nothing where a name or an address is missing.
std::optional<fleet_member>
ToMember(const proto::member& aSender)
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
EncodeFleetBeat(const fleet_beat& aBeat, beat_form aForm)
{
  proto::fleet_heartbeat message;
  if (aForm == beat_form::Full) {
    WriteMember(aBeat.mSender, *message.mutable_sender());
  } else {
    message.set_sender_key(
      KeyOf(aBeat.mSender.mInstance, aBeat.mSender.mIncarnation));
  }
  message.set_serving(aBeat.mServing);
  message.set_leaving(aBeat.mLeaving);
  message.set_control_version(aBeat.mControlVersion);
  message.set_settled(aBeat.mSettled);
  return message.SerializeAsString();
}

std::optional<fleet_beat>
DecodeFleetBeat(std::string_view aBytes)
{
  proto::fleet_heartbeat message;
  bool whole =
    aBytes.size() <= kLongestFleetBeat &&
    message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (!whole) {
    return std::nullopt;
  }
  fleet_beat beat;
  if (message.has_sender()) {
    std::optional<fleet_member> sender = ToMember(message.sender());
    if (!sender) {
      return std::nullopt;
    }
    beat.mSender = std::move(*sender);
  } else if (message.sender_key() == 0) {
    return std::nullopt;
  }
  beat.mSenderKey = message.sender_key();
  beat.mServing = message.serving();
  beat.mLeaving = message.leaving();
  beat.mControlVersion = message.control_version();
  beat.mSettled = message.settled();
  return beat;
}

} // namespace laburnumdyke
