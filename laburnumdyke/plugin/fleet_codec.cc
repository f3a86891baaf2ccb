// Addresses travel as text, so that both families have one form.
#include "laburnumdyke/plugin/fleet_codec.h"

#include "laburnumdyke/proto/peer.pb.h"

namespace laburnumdyke {

std::string
EncodeFleetBeat(const fleet_beat& aBeat)
{
  proto::fleet_heartbeat message;
  proto::member* sender = message.mutable_sender();
  sender->set_instance(aBeat.mSender.mInstance.mValue);
  sender->set_incarnation(aBeat.mSender.mIncarnation);
  sender->set_region(aBeat.mSender.mRegion.mValue);
  sender->set_failure_domain(aBeat.mSender.mDomain.mValue);
  sender->set_caller(aBeat.mSender.mCaller.Text());
  sender->set_relay(aBeat.mSender.mRelay.Text());
  sender->set_peer(aBeat.mSender.mPeer.Text());
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
  const proto::member& sender = message.sender();
  std::optional<endpoint> caller = ParseEndpoint(sender.caller());
  std::optional<endpoint> relay = ParseEndpoint(sender.relay());
  std::optional<endpoint> peer = ParseEndpoint(sender.peer());
  if (sender.instance().empty() || !caller || !relay || !peer) {
    return std::nullopt;
  }
  fleet_beat beat;
  beat.mSender = { { sender.instance() },
                   sender.incarnation(),
                   { sender.region() },
                   { sender.failure_domain() },
                   *caller,
                   *peer,
                   *relay };
  beat.mServing = message.serving();
  beat.mLeaving = message.leaving();
  beat.mControlVersion = message.control_version();
  beat.mSettled = message.settled();
  return beat;
}

} // namespace laburnumdyke
