// Explanations at the operators' address: reading of the question, each
// outcome, and the limits of size and rate.
#include "laburnumdyke/plugin/route_explanation.h"

#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/load_replay.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <boost/json.hpp>

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(ExplainQuery){};

TEST(ExplainQuery, ReadsEveryParameterDecoded)
{
  explain_query_result read = ReadExplainQuery(
    "/v1/explain?host=a.example%3A80&path=%2Fx%3Fy%3D1&object=7"
    "&customer=acme&deadline_ms=250");
  CHECK(read.mQuery.has_value());
  STRCMP_EQUAL("a.example:80", read.mQuery->mHost.c_str());
  STRCMP_EQUAL("/x?y=1", read.mQuery->mPath.c_str());
  STRCMP_EQUAL("7", read.mQuery->mObject.c_str());
  STRCMP_EQUAL("acme", read.mQuery->mCustomer.c_str());
  CHECK(*read.mQuery->mCallerTimeout == 250ms);
}

// Guards against a question that is answered as if it were another one.
TEST(ExplainQuery, RefusesMalformedQuestions)
{
  const std::vector<std::string> kTargets = {
    "/v1/explain",
    "/v1/explain?",
    "/v1/explain?host=a",
    "/v1/explain?path=/",
    "/v1/explain?host=&path=/",
    "/v1/explain?host=a&path=x",
    "/v1/explain?host=a&path=/&host=b",
    "/v1/explain?host=a&path=/&key=secret",
    "/v1/explain?host=a&path=/&deadline_ms=0",
    "/v1/explain?host=a&path=/&deadline_ms=-5",
    "/v1/explain?host=a&path=/&deadline_ms=1s",
    "/v1/explain?host=a&path=/&deadline_ms=99999999999999999999",
    "/v1/explain?host=a%zz&path=/",
    "/v1/explain?host=a&path=/" + std::string(5000, 'x'),
  };
  for (const std::string& target : kTargets) {
    explain_query_result read = ReadExplainQuery(target);
    CHECK_TEXT(!read.mQuery.has_value(), target.c_str());
    CHECK_TEXT(!read.mFault.empty(), target.c_str());
  }
}

TEST_GROUP(RouteExplanation)
{
  settings mSettings = FreeSettings("one", "east-a", "east");
  std::unique_ptr<kernel> mKernel;
  instant mNow = std::chrono::steady_clock::now();

  void setup() override
  {
    Start(uneven_load::Never);
  }

  void Start(uneven_load aUse)
  {
    mSettings.mUnevenLoad = aUse;
    mSettings.mFront = front_kind::Hosts;
    mSettings.mDomains = { { "east-a", "east" }, { "west-a", "west" } };
    std::vector<plugin_record> metrics;
    for (const plugin_record& record : registry::Records(front_kind::Hosts)) {
      if (record.mName == "metrics_http") {
        metrics.push_back(record);
      }
    }
    mKernel = std::make_unique<kernel>(mSettings, metrics);
    CHECK(!mKernel->Start(mNow));
  }

  void teardown() override
  {
    mKernel->Stop();
  }

  // Puts routes for a.example in force: "/" for customers and "/open" for all.
  void Configure(double aRate = 0)
  {
    routing_document document;
    document.mVersion = 7;
    route_spec route = ReplayRoute();
    route.mHost = "a.example";
    route.mPrefix = "/";
    route.mPriority = 2;
    route_spec open = route;
    open.mName = "open";
    open.mPrefix = "/open";
    open.mPublic = true;
    document.mRoutes = { route, open };
    customer_spec customer;
    customer.mName = { "acme" };
    customer.mKeys = { "s3cret-key" };
    customer.mPriority = 1;
    customer.mQuota = { aRate, 0 };
    document.mCustomers = std::vector<customer_spec>{ customer };
    std::shared_ptr<const route_table> routes =
      std::make_shared<const route_table>(std::move(document));
    mKernel->Table<routes_in_force>().With(
      [&](routes_in_force& aInForce) { aInForce.mRoutes = routes; });
    mKernel->Table<quota_state>().With([&](quota_state& aQuota) {
      aQuota.SetCustomers(routes->Customers()->All());
    });
    mKernel->Table<steering_state>().With(
      [&](steering_state& aSteering) { aSteering.SetRules(routes); });
  }

  void Register(std::vector<upstream_entry> aEntries)
  {
    mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
      aSteering.Apply(aSteering.Directory().Replace(std::move(aEntries), mNow),
                      mNow);
    });
  }

  std::string Ask(const std::string& aParameters,
                  const std::string& aHeaders = "")
  {
    return SendRaw(mSettings.mOperator,
                   "GET /v1/explain?host=a.example&" + aParameters +
                     " HTTP/1.1\r\nHost: a\r\n" + aHeaders +
                     "Connection: close\r\n\r\n");
  }

  // Serves 60 objects at once. aSlow takes ten times as long as usual, and
  // upstreams report how long work takes.
  void Serve(const std::string& aSlow)
  {
    route_spec route = ReplayRoute();
    std::vector<upstream_id> tried;
    mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
      for (int i = 0; i < 60; ++i) {
        std::string object = std::to_string(i);
        steering_choice choice = aSteering.Choose(
          { route, { "sheets" }, object, mNow, mNow + 3s, tried }, mNow);
        bool isSlow = choice.mTarget->mId.mValue == aSlow;
        attempt_report report;
        report.mResult = attempt_result::Answered;
        report.mTook = isSlow ? 1000ms : 100ms;
        report.mLoad = reported_load{ 0, 0, 3, isSlow ? 1000 : 100 };
        aSteering.Begin(*choice.mTarget, mNow);
        aSteering.End(*choice.mTarget, report, mNow);
      }
    });
  }

  static boost::json::object BodyOf(const std::string& aAnswer)
  {
    std::size_t end = aAnswer.find("\r\n\r\n");
    CHECK(end != std::string::npos);
    return boost::json::parse(aAnswer.substr(end + 4)).as_object();
  }

  static bool Has(const std::string& aText, std::string_view aPart)
  {
    return aText.find(aPart) != std::string::npos;
  }
};

TEST(RouteExplanation, SaysSoWithoutAConfiguration)
{
  CHECK(Has(Ask("path=/"), "HTTP/1.1 503"));
}

TEST(RouteExplanation, TellsTheUpstreamAndTheOthers)
{
  Configure();
  upstream_entry draining = ReplayUpstream("u2", "east-a");
  draining.mDraining = true;
  Register({ ReplayUpstream("u1", "east-a"), draining });
  boost::json::object body = BodyOf(Ask("path=/x&customer=acme&object=7"));
  CHECK(body.at("version").as_int64() == 7);
  CHECK(body.at("route").as_string() == "sheets");
  CHECK(body.at("customer").as_string() == "acme");
  CHECK(body.at("priority").as_int64() == 1);
  CHECK(body.at("outcome").as_string() == "sent");
  CHECK(body.at("upstream").as_string() == "u1");
  LONGS_EQUAL(1, body.at("candidates").as_array().size());
  const boost::json::object& excluded =
    body.at("excluded").as_array().at(0).as_object();
  CHECK(excluded.at("rule").as_string() == "draining");
  CHECK(excluded.at("upstreams").as_string() == "u2");
}

TEST(RouteExplanation, TellsWhyARequestWouldBeRejected)
{
  Configure();
  boost::json::object none = BodyOf(Ask("path=/&customer=acme"));
  CHECK(none.at("outcome").as_string() == "rejected");
  CHECK(none.at("reason").as_string() == "no_upstream");
  CHECK(none.at("retry_after_most_ms").as_int64() > 0);
  boost::json::object keyless = BodyOf(Ask("path=/"));
  CHECK(keyless.at("status").as_int64() == 401);
  CHECK(keyless.at("reason").as_string() == "unknown_customer");
  boost::json::object late = BodyOf(Ask("path=/&customer=acme&deadline_ms=10"));
  CHECK(late.at("reason").as_string() == "deadline_too_close");
  CHECK(Has(Ask("path=/&customer=nobody"), "HTTP/1.1 404"));
}

// Guards against an explanation that counts as a request of the customer: the
// quota would refuse further ones.
TEST(RouteExplanation, TellsTheQuotaAndTakesNothingFromIt)
{
  Configure(0.001);
  Register({ ReplayUpstream("u1", "east-a") });
  CHECK(BodyOf(Ask("path=/&customer=acme")).at("quota_admits").as_bool());
  mKernel->Table<quota_state>().With([&](quota_state& aQuota) {
    for (int i = 0; i < 100; ++i) {
      aQuota.Admit({ "acme" }, std::chrono::steady_clock::now());
    }
  });
  boost::json::object body = BodyOf(Ask("path=/&customer=acme"));
  CHECK(body.at("reason").as_string() == "quota_exceeded");
  CHECK(body.at("status").as_int64() == 429);
  CHECK_FALSE(body.at("quota_admits").as_bool());
  CHECK(BodyOf(Ask("path=/open")).at("outcome").as_string() == "sent");
}

TEST(RouteExplanation, TellsWhenARequestLeavesItsRegion)
{
  Configure();
  std::vector<upstream_entry> entries = { ReplayUpstream("e1", "east-a") };
  for (int i = 1; i <= 9; ++i) {
    entries.push_back(ReplayUpstream("w" + std::to_string(i), "west-a"));
  }
  Register(entries);
  mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
    aSteering.SetFleet(
      { { { "one" }, { "east" } }, { { "two" }, { "west" } } });
    steering_target full;
    full.mId = { "e1" };
    for (int i = 0; i < 20; ++i) {
      aSteering.Begin(full, mNow);
    }
  });
  boost::json::object body = BodyOf(Ask("path=/x&customer=acme&object=7"));
  CHECK(body.at("spillover").as_string() == "remote");
  CHECK(body.at("remote_share").as_double() > 0.5);
  CHECK(body.at("upstream").as_string().at(0) == 'w');
  const boost::json::object& own =
    body.at("candidates").as_array().back().as_object();
  CHECK(own.at("upstream").as_string() == "e1");
  CHECK_FALSE(own.at("admits").as_bool());
}

TEST(RouteExplanation, TellsWhenAnUpstreamIsAvoidedForItsSpeed)
{
  Configure();
  Register({ ReplayUpstream("u1", "east-a"), ReplayUpstream("u2", "east-a") });
  boost::json::object before = BodyOf(Ask("path=/x&customer=acme"));
  std::string slow = before.at("upstream").as_string().c_str();
  Serve("");
  Serve(slow);
  boost::json::object body = BodyOf(Ask("path=/x&customer=acme"));
  CHECK(body.at("upstream").as_string() != slow);
  const boost::json::object& avoided =
    body.at("candidates").as_array().back().as_object();
  CHECK(avoided.at("upstream").as_string() == slow);
  CHECK(avoided.at("slowness").as_double() > 1.5);
}

TEST(RouteExplanation, TellsTheDemandByRegionAndItsAge)
{
  Configure();
  Register({ ReplayUpstream("e1", "east-a"), ReplayUpstream("w1", "west-a") });
  Serve("none"); // answers tell how long work takes
  CHECK(BodyOf(Ask("path=/x&customer=acme")).count("demand") == 0);
  mKernel->Stop();
  Start(uneven_load::Always);
  Configure();
  Register({ ReplayUpstream("e1", "east-a"), ReplayUpstream("w1", "west-a") });
  Serve("none"); // answers tell how long work takes
  mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
    aSteering.SetFleet(
      { { { "one" }, { "east" } }, { { "two" }, { "west" } } });
    demand_report report = { 1, { { KeyOf(service_id{ "sheets" }), 12 } } };
    aSteering.Demand().SetTotals(
      { { { "east" }, report }, { { "west" }, report } }, mNow);
  });
  boost::json::object body = BodyOf(Ask("path=/x&customer=acme"));
  const boost::json::object& demand = body.at("demand").as_object();
  CHECK(demand.at("by").as_string() == "demand");
  CHECK(demand.at("age_ms").as_int64() < 5000);
  const boost::json::object& west =
    demand.at("regions").as_array().at(1).as_object();
  CHECK(west.at("region").as_string() == "west");
  DOUBLES_EQUAL(12, west.at("demand_per_s").as_double(), 1e-9);
  DOUBLES_EQUAL(0, west.at("share").as_double(), 1e-9);
}

TEST(RouteExplanation, TakesAKeyAndNeverShowsIt)
{
  Configure();
  Register({ ReplayUpstream("u1", "east-a") });
  std::string answer =
    Ask("path=/", std::string(kExplainKeyHeader) + ": s3cret-key\r\n");
  CHECK(BodyOf(answer).at("customer").as_string() == "acme");
  CHECK_FALSE(Has(answer, "s3cret"));
  std::string wrong =
    Ask("path=/", std::string(kExplainKeyHeader) + ": wr0ng-key\r\n");
  CHECK(BodyOf(wrong).at("status").as_int64() == 401);
  CHECK_FALSE(Has(wrong, "wr0ng"));
  std::string both = Ask("path=/&customer=acme",
                         std::string(kExplainKeyHeader) + ": s3cret-key\r\n");
  CHECK(Has(both, "HTTP/1.1 400"));
  std::string inTarget = Ask("path=/&key=s3cret-key");
  CHECK(Has(inTarget, "HTTP/1.1 400"));
  CHECK_FALSE(Has(inTarget, "s3cret"));
}

TEST(RouteExplanation, AnswersAreBoundedInSizeAndRate)
{
  Configure();
  std::vector<upstream_entry> entries;
  for (int i = 0; i < 1000; ++i) {
    std::string name = "upstream-with-a-rather-long-name-" + std::to_string(i);
    entries.push_back(ReplayUpstream(name, i % 2 == 0 ? "east-a" : "west-a"));
    entries.back().mDraining = i % 5 == 0;
  }
  Register(entries);
  std::string answer = Ask("path=/open");
  CHECK(BodyOf(answer).at("more_candidates").as_int64() == 780);
  CHECK(answer.size() < 16UL * 1024);
  int refused = 0;
  for (int i = 0; i < 3 * static_cast<int>(route_explainer::kPerSecond); ++i) {
    refused += Has(Ask("path=/nothing"), "HTTP/1.1 429") ? 1 : 0;
  }
  CHECK(refused > 0);
}

TEST(RouteExplanation, OnlyGetAtTheOperatorsAddress)
{
  Configure();
  std::string answer = SendRaw(mSettings.mOperator,
                               "POST /v1/explain?host=a&path=/ HTTP/1.1\r\n"
                               "Host: a\r\nContent-Length: 0\r\n"
                               "Connection: close\r\n\r\n");
  CHECK(Has(answer, "HTTP/1.1 405"));
}
