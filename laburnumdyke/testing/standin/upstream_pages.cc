// Pages are built as JSON values, so that names are escaped by the library.
#include "laburnumdyke/testing/standin/upstream_pages.h"

#include "laburnumdyke/testing/standin/control_form.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace laburnumdyke {

namespace json = boost::json;

namespace {

json::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

std::optional<std::string>
ControlUpstream(upstream_model& aModel, const std::string& aBody, instant aNow)
{
  constexpr std::uint64_t kMaxLost = 1000000;
  upstream_faults next = aModel.Faults();
  control_form form;
  form.Flag("draining", next.mDraining);
  form.Time("load_lag_ms", kMaxLoadLag, next.mLoadLag);
  form.Flag("load_lies", next.mLoadLies);
  form.Flag("fail_fast", next.mFailFast);
  form.Number("lose_answers", kMaxLost, next.mLoseAnswers);
  form.Flag("close_idle", next.mCloseIdle);
  form.Flag("frozen", next.mFrozen);
  std::optional<std::string> fault = form.Read(aBody);
  if (!fault) {
    aModel.SetFaults(aNow, next);
  }
  return fault;
}

std::string
UpstreamCountersJson(const upstream_model& aModel, instant aNow)
{
  const upstream_counters& counters = aModel.Counters();
  json::object refused;
  for (std::size_t i = 0; i < counters.mRefused.size(); i++) {
    refused[View(ToString(static_cast<upstream_refusal>(i)))] =
      counters.mRefused[i];
  }
  json::object runsById;
  for (const std::pair<const std::string, std::uint64_t>& run :
       counters.mRunsById) {
    runsById[run.first] = run.second;
  }
  json::object result;
  result["name"] = aModel.Options().mName;
  result["runs"] = counters.mRuns;
  result["max_busy"] = counters.mMaxBusy;
  result["overshot"] = counters.mOvershot;
  result["refused"] = std::move(refused);
  result["over_connections"] = counters.mOverConnections;
  result["cancelled"] = counters.mCancelled;
  result["deadline_stopped"] = counters.mDeadlineStopped;
  result["lost_answers"] = counters.mLostAnswers;
  result["failed_fast"] = counters.mFailedFast;
  result["malformed"] = counters.mMalformed;
  std::optional<std::chrono::milliseconds> age = aModel.LastRunAge(aNow);
  result["last_run_age_ms"] = age ? json::value(age->count()) : json::value();
  result["runs_by_id"] = std::move(runsById);
  return json::serialize(result);
}

std::string
UpstreamLoadJson(const upstream_model& aModel, instant aNow)
{
  load_report load = aModel.Load(aNow);
  json::object result;
  result["name"] = aModel.Options().mName;
  result["slots"] = aModel.Options().mSlots;
  result["busy"] = load.mBusy;
  result["connections"] = load.mConnections;
  result["state"] = View(load.mState);
  return json::serialize(result);
}

} // namespace laburnumdyke
