// Each upstream's control page is read once; runs by identity are summed, so
// that a second run at another upstream shows as well.
#include "laburnumdyke/testing/harness/upstream_count.h"

#include "laburnumdyke/testing/harness/http_call.h"

#include <thread>

namespace laburnumdyke {

std::uint64_t
upstream_count::RunTwice() const
{
  std::uint64_t twice = 0;
  for (const std::pair<const std::string, std::uint64_t>& run : mRunsById) {
    twice += run.second > 1 ? 1 : 0;
  }
  return twice;
}

std::uint64_t
JsonNumber(const boost::json::object& aObject, const char* aKey)
{
  const boost::json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_number()
           ? value->to_number<std::uint64_t>()
           : 0;
}

boost::json::object
JsonObject(const std::string& aText)
{
  boost::system::error_code failure;
  boost::json::value parsed = boost::json::parse(aText, failure);
  return !failure && parsed.is_object() ? parsed.get_object()
                                        : boost::json::object();
}

upstream_count
CountUpstream(const deployment& aDeployment, const std::string& aName)
{
  boost::json::object control =
    JsonObject(GetText(aDeployment.UpstreamAddress(aName), "/control"));
  upstream_count count;
  count.mRuns = JsonNumber(control, "runs");
  count.mOvershot = JsonNumber(control, "overshot");
  const boost::json::value* refused = control.if_contains("refused");
  if (refused != nullptr && refused->is_object()) {
    count.mOfferedDraining = JsonNumber(refused->get_object(), "draining");
  }
  const boost::json::value* runs = control.if_contains("runs_by_id");
  if (runs != nullptr && runs->is_object()) {
    for (const boost::json::key_value_pair& run : runs->get_object()) {
      count.mRunsById[std::string(run.key())] =
        run.value().to_number<std::uint64_t>();
    }
  }
  return count;
}

upstream_count
WorkAfterLeaveLimit(const deployment& aDeployment, const std::string& aName)
{
  std::this_thread::sleep_for(kLeaveLimit);
  upstream_count before = CountUpstream(aDeployment, aName);
  std::this_thread::sleep_for(kAfterLeaving);
  upstream_count after = CountUpstream(aDeployment, aName);
  after.mRuns -= before.mRuns;
  after.mOfferedDraining -= before.mOfferedDraining;
  return after;
}

upstream_count
CountUpstreams(const deployment& aDeployment)
{
  upstream_count sum;
  for (const upstream_plan& plan : aDeployment.Upstreams()) {
    upstream_count one = CountUpstream(aDeployment, plan.mName);
    sum.mRuns += one.mRuns;
    sum.mOvershot += one.mOvershot;
    sum.mOfferedDraining += one.mOfferedDraining;
    for (const std::pair<const std::string, std::uint64_t>& run :
         one.mRunsById) {
      sum.mRunsById[run.first] += run.second;
    }
  }
  return sum;
}

std::uint64_t
FalseNotRun(const upstream_count& aCount, const caller_report& aReport)
{
  std::uint64_t falseNotRun = 0;
  for (const identified_request& request : aReport.mIdentified) {
    bool ran = aCount.mRunsById.count(request.mIdentity) > 0;
    falseNotRun += request.mTold == outcome_kind::NotRun && ran ? 1 : 0;
  }
  return falseNotRun;
}

std::uint64_t
WrongAnswers(const caller_report& aReport)
{
  std::uint64_t wrong = 0;
  for (const rank_tally& tally : aReport.mRanks) {
    wrong += tally.mWrong;
  }
  return wrong;
}

std::uint64_t
Answered(const caller_report& aReport)
{
  std::uint64_t answered = 0;
  for (const rank_tally& tally : aReport.mRanks) {
    answered += tally.mAnswered;
  }
  return answered;
}

} // namespace laburnumdyke
