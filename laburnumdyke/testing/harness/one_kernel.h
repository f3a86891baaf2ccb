// One kernel in the test's own process, on free ports, with a document in
// force: for tests of the interfaces.
#pragma once

#include "laburnumdyke/kernel/kernel.h"

#include <memory>
#include <string>
#include <vector>

namespace laburnumdyke {

// Settings with free ports and a platform that is not there.
settings
FreeSettings(const std::string& aInstance,
             const std::string& aDomain,
             const std::string& aRegion);

// Puts a document in force, past the platform; stops the process where the
// text is none.
void
ForceDocument(kernel& aKernel,
              std::uint64_t aVersion,
              const std::string& aText);

// Waits until the kernel, which must be running, is the home of the upstreams
// of its document; stops the process where it does not become so.
void
WaitForHomes(kernel& aKernel);

// One region, failure domain and upstream (3 slots at aUpstream) for each of
// the services booking (urgent, not idempotent), job-sheet and report (bulk).
std::string
SmallDocument(const endpoint& aUpstream);

// Sends bytes as they are and returns all that comes back until the far side
// closes or is silent for a second.
std::string
SendRaw(const endpoint& aTo, const std::string& aBytes);

} // namespace laburnumdyke
