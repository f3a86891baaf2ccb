// Real daemons and the platform's list of instances: upstreams that it lists
// as leaving, and peers that are known from it alone.
#include "laburnumdyke/testing/process_checks.h"

#include "laburnumdyke/testing/harness/background_load.h"
#include "laburnumdyke/testing/harness/http_call.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::chrono::seconds kSettle{ 2 };

unsigned
ListUpstream(const deployment& aDeployment,
             const std::string& aName,
             const char* aState)
{
  call_request request;
  request.mTo = aDeployment.Platform();
  request.mMethod = http::verb::put;
  request.mTarget = "/v1/instances/" + aName;
  request.mBody = R"({"address":")" +
                  aDeployment.UpstreamAddress(aName).Text() + R"(","state":")" +
                  aState + R"("})";
  return CallNow(request).mStatus;
}

} // namespace

TEST_GROUP(ProcessList){};

TEST(ProcessList, AnUpstreamListedAsLeavingGetsNoNewWork)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  background_load load(CallerAddresses(deployed), 18);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(kSettle);
  std::string name = "job-sheet-leinster-a-1";
  CHECK(CountUpstream(deployed, name).mRuns > 0);
  CHECK_EQUAL(200, ListUpstream(deployed, name, "leaving"));
  std::uint64_t late = WorkAfterLeaveLimit(deployed, name).mRuns;
  std::printf("listed as leaving: work begun after 3 s: %llu\n",
              static_cast<unsigned long long>(late));
  CHECK_EQUAL(0, late);
  CHECK_EQUAL(200, ListUpstream(deployed, name, "live"));
  std::uint64_t gone = CountUpstream(deployed, name).mRuns;
  CHECK(WaitUntil([&]() { return CountUpstream(deployed, name).mRuns > gone; },
                  kEventLimit));
  CheckPromises("upstream listed as leaving", deployed, load.Stop());
}

TEST(ProcessList, InstancesWithoutSeedsMeetThroughTheList)
{
  deployment deployed({ .mSeeds = false });
  PlanTwoDomains(deployed, 2);
  deployed.Start(TwoDomainHead());
  CHECK(deployed.WaitForVersion(1, kEventLimit));
}
