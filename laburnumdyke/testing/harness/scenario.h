// The deployment and the callers that the process tests share.
#pragma once

#include "laburnumdyke/testing/harness/background_load.h"
#include "laburnumdyke/testing/harness/deployment.h"

#include <chrono>
#include <string>
#include <vector>

namespace laburnumdyke {

// For every event of a process test; no verdict depends on the time it took.
inline constexpr std::chrono::seconds kEventLimit{ 60 };

// Regions leinster and munster with the failure domains leinster-a and
// munster-a, three services of one rank each, two upstreams of 3 slots for
// each service and failure domain, and aDaemons daemons in each.
void
PlanTwoDomains(deployment& aDeployment, unsigned aDaemons);

// What stands before the failure domains and upstreams in the document of
// PlanTwoDomains.
std::string
TwoDomainHead();

// Starts the processes of PlanTwoDomains and waits until each has the first
// document in force; false where they did not come up.
bool
StartTwoDomains(deployment& aDeployment);

std::vector<endpoint>
CallerAddresses(const deployment& aDeployment);

// Callers of all three ranks from both failure domains.
void
AddThreeRanks(caller_group& aCallers);

} // namespace laburnumdyke
