// Two linked regions around one kernel, and peers that exist by their
// heartbeats alone.
#pragma once

#include "laburnumdyke/decision/types.h"
#include "laburnumdyke/kernel/kernel.h"

#include <cstdint>
#include <string>

namespace laburnumdyke {

// SmallDocument, with a region munster of one failure domain, the only one with
// an upstream of the service scan (bulk), and a link of so many Mbit/s to
// leinster.
std::string
LinkedDocument(std::uint32_t aMegabits);

// A name that rendezvous hashing puts before aName for the key.
std::string
OutrankingName(const std::string& aName, const std::string& aKey);

// Gives the kernel a heartbeat of an eligible instance of its own failure
// domain with this relay address, or of another domain with free slots for the
// service.
void
HearOfPeer(kernel& aKernel,
           const std::string& aName,
           const endpoint& aRelay,
           instant aNow);

void
HearOfHome(kernel& aKernel,
           const std::string& aName,
           const std::string& aDomain,
           const std::string& aRegion,
           const std::string& aService,
           instant aNow);

} // namespace laburnumdyke
