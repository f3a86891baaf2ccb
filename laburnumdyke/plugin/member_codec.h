// Encodes an instance's names and addresses for the heartbeats of both front
// ends.
//
// Usage:
//   WriteMember(self, *message.mutable_sender());
//
// Addresses are encoded as text, so that IPv4 and IPv6 share one format.
#pragma once

#include "laburnumdyke/proto/peer.pb.h"

namespace laburnumdyke {

template<class Member>
void
WriteMember(const Member& aMember, proto::member& aMessage)
{
  aMessage.set_instance(aMember.mInstance.mValue);
  aMessage.set_incarnation(aMember.mIncarnation);
  aMessage.set_region(aMember.mRegion.mValue);
  aMessage.set_failure_domain(aMember.mDomain.mValue);
  aMessage.set_caller(aMember.mCaller.Text());
  aMessage.set_relay(aMember.mRelay.Text());
  aMessage.set_peer(aMember.mPeer.Text());
}

} // namespace laburnumdyke
