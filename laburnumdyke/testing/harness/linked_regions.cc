// Heartbeats go straight into membership, as peer_link puts them.
#include "laburnumdyke/testing/harness/linked_regions.h"

#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

namespace laburnumdyke {

namespace {

heartbeat
Heartbeat(const std::string& aName,
          const std::string& aDomain,
          const std::string& aRegion)
{
  heartbeat message;
  message.mSender.mInstance.mValue = aName;
  message.mSender.mIncarnation = 1;
  message.mSender.mDomain.mValue = aDomain;
  message.mSender.mRegion.mValue = aRegion;
  message.mSender.mCaller = FreeEndpoint();
  message.mSender.mRelay = FreeEndpoint();
  message.mSender.mPeer = FreeEndpoint();
  message.mSequence = 1;
  message.mVersion = 1;
  return message;
}

void
ReceiveHeartbeat(kernel& aKernel, const heartbeat& aMessage, instant aNow)
{
  entry_tables(aKernel).Membership().With([&](membership& aMembership) {
    aMembership.ReceiveHeartbeat(aMessage, aNow);
  });
}

} // namespace

std::string
LinkedDocument(std::uint32_t aMegabits)
{
  return SmallDocument({ "127.0.0.1", 1 }) +
         "[region munster]\ncap = 3\n"
         "[failure_domain munster-a]\nregion = munster\n"
         "[service scan]\nrank = bulk\nanswer_life = 1s\n"
         "[upstream scan-1]\nservice = scan\n"
         "failure_domain = munster-a\naddress = 127.0.0.1:9\n"
         "slots = 3\nconnections = 650\n"
         "[link leinster-munster]\nbetween = leinster, munster\nrate = " +
         std::to_string(aMegabits) + "\n";
}

std::string
OutrankingName(const std::string& aName, const std::string& aKey)
{
  std::string found = "peer-0";
  for (int i = 1; !Outranks({ found }, { aName }, aKey); ++i) {
    found = "peer-" + std::to_string(i);
  }
  return found;
}

void
HearOfPeer(kernel& aKernel,
           const std::string& aName,
           const endpoint& aRelay,
           instant aNow)
{
  const settings& settings = aKernel.Settings();
  heartbeat message =
    Heartbeat(aName, settings.mFailureDomain, settings.mRegion);
  message.mSender.mRelay = aRelay;
  message.mLease.mEligible = true;
  ReceiveHeartbeat(aKernel, message, aNow);
}

void
HearOfHome(kernel& aKernel,
           const std::string& aName,
           const std::string& aDomain,
           const std::string& aRegion,
           const std::string& aService,
           instant aNow)
{
  heartbeat message = Heartbeat(aName, aDomain, aRegion);
  message.mCredits = { { { aService }, 3, 3 } };
  ReceiveHeartbeat(aKernel, message, aNow);
}

} // namespace laburnumdyke
