// The path of a request through real daemons of two regions.
//
// The upstreams of the callers' region take no work: whatever is answered was
// carried to the other region and back.
#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"

#include <boost/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

struct path_row
{
  const char* mService;
  const char* mRank;
  bool mIdempotent;
  std::size_t mBytes; // of the answer
};

const path_row kRows[] = {
  { "booking", "urgent", false, 100 },
  { "job-sheet", "standard", true, 2000 },
  { "report", "bulk", true, 3000000 },
};

// Marks every upstream of leinster-a as leaving.
bool
LeaveUpstreamsInMunsterAlone(deployment& aDeployment)
{
  std::vector<std::string> leaving;
  for (const upstream_plan& plan : aDeployment.Upstreams()) {
    if (plan.mDomain == "leinster-a") {
      leaving.push_back(plan.mName);
    }
  }
  return aDeployment.Submit(2, aDeployment.Document(leaving)) &&
         aDeployment.WaitForVersion(2, kEventLimit);
}

std::string
IssueIdentity(const endpoint& aEntry)
{
  boost::json::object answer = JsonObject(GetText(aEntry, "/v1/identity"));
  const boost::json::value* identity = answer.if_contains("identity");
  return identity != nullptr && identity->is_string()
           ? std::string(identity->get_string())
           : std::string();
}

call_result
Request(const endpoint& aEntry, const path_row& aRow)
{
  call_request request;
  request.mTo = aEntry;
  request.mTarget = "/v1/request/" + std::string(aRow.mService) +
                    "/work?ms=1&bytes=" + std::to_string(aRow.mBytes);
  request.mHeaders = { { std::string(kRankHeader), aRow.mRank } };
  if (!aRow.mIdempotent) {
    request.mHeaders.emplace_back(std::string(kIdentityHeader),
                                  IssueIdentity(aEntry));
  }
  return CallNow(request);
}

} // namespace

TEST_GROUP(ProcessPath){};

TEST(ProcessPath, EachRankIsServedAcrossARegion)
{
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  CHECK(StartTwoDomains(deployed));
  CHECK(LeaveUpstreamsInMunsterAlone(deployed));
  endpoint entry = deployed.Addresses("leinster-a-1").mCaller;
  for (const path_row& row : kRows) {
    // The first requests may come before the entry has heard of credit.
    CHECK(WaitUntil([&]() { return Request(entry, row).mStatus == 200; },
                    kEventLimit));
    std::uint64_t before = CountUpstreams(deployed).mRuns;
    call_result answer = Request(entry, row);
    CHECK(answer.mComplete);
    CHECK_EQUAL(200, answer.mStatus);
    STRCMP_EQUAL("answered", answer.Field(kOutcomeHeader).c_str());
    CHECK_EQUAL(row.mBytes, answer.mBody.size());
    CHECK_EQUAL(before + 1, CountUpstreams(deployed).mRuns);
  }
  CHECK_EQUAL(0, CountUpstreams(deployed).RunTwice());
}
