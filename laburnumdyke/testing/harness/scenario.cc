// Names and sizes follow scripts/demo, with one region less.
#include "laburnumdyke/testing/harness/scenario.h"

#include <cstdio>

namespace laburnumdyke {

namespace {

constexpr std::string_view kHead = "[region leinster]\n"
                                   "cap = 18\n"
                                   "[region munster]\n"
                                   "cap = 18\n"
                                   "[service booking]\n"
                                   "rank = urgent\n"
                                   "idempotent = no\n"
                                   "answer_life = 1s\n"
                                   "warm_up = 1s\n"
                                   "[service job-sheet]\n"
                                   "rank = standard\n"
                                   "answer_life = 1s\n"
                                   "warm_up = 1s\n"
                                   "[service report]\n"
                                   "rank = bulk\n"
                                   "answer_life = 1s\n"
                                   "deadline = 10s\n"
                                   "warm_up = 1s\n"
                                   "[rank urgent]\n"
                                   "floor = 50\n"
                                   "queue = 64\n"
                                   "[rank standard]\n"
                                   "floor = 30\n"
                                   "queue = 64\n"
                                   "[rank bulk]\n"
                                   "floor = 10\n"
                                   "queue = 64\n"
                                   "[link leinster-munster]\n"
                                   "between = leinster, munster\n"
                                   "rate = 300\n"
                                   "[blocks]\n"
                                   "leinster-a = 10.1.0.0/16\n"
                                   "munster-a = 10.2.0.0/16\n";

constexpr std::size_t kReportBytes = 300000;
constexpr unsigned kSlots = 3; // of each upstream

} // namespace

void
PlanTwoDomains(deployment& aDeployment, unsigned aDaemons)
{
  aDeployment.AddDomain("leinster-a", "leinster");
  aDeployment.AddDomain("munster-a", "munster");
  for (const std::string domain : { "leinster-a", "munster-a" }) {
    for (const std::string service : { "booking", "job-sheet", "report" }) {
      for (const char* number : { "-1", "-2" }) {
        std::string name = service;
        name += "-";
        name += domain;
        name += number;
        aDeployment.AddUpstream({ name, service, domain, kSlots });
      }
    }
    for (unsigned i = 1; i <= aDaemons; ++i) {
      aDeployment.AddDaemon(domain + "-" + std::to_string(i), domain);
    }
  }
}

std::string
TwoDomainHead()
{
  return std::string(kHead);
}

bool
StartTwoDomains(deployment& aDeployment)
{
  aDeployment.Start(TwoDomainHead());
  return aDeployment.WaitForVersion(1, kEventLimit) &&
         aDeployment.WaitForHomes(kEventLimit);
}

std::vector<endpoint>
CallerAddresses(const deployment& aDeployment)
{
  std::vector<endpoint> addresses;
  for (const std::string& name : aDeployment.DaemonNames()) {
    addresses.push_back(aDeployment.Addresses(name).mCaller);
  }
  return addresses;
}

void
AddThreeRanks(caller_group& aCallers)
{
  for (const char* client : { "10.1.0.9", "10.2.0.9" }) {
    caller_plan booking;
    booking.mService = "booking";
    booking.mClient = client;
    booking.mRank = work_rank::Urgent;
    booking.mIdempotent = false;
    aCallers.Add(booking, 6);
    caller_plan sheet;
    sheet.mService = "job-sheet";
    sheet.mClient = client;
    aCallers.Add(sheet, 8);
    caller_plan report;
    report.mService = "report";
    report.mClient = client;
    report.mRank = work_rank::Bulk;
    report.mServiceTime = std::chrono::milliseconds(100);
    report.mAnswerBytes = kReportBytes;
    report.mDeadline = std::chrono::milliseconds(10000);
    aCallers.Add(report, 6);
  }
}

} // namespace laburnumdyke
