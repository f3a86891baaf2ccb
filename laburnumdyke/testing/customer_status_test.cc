// Customers in an instance's status and metrics: bounded in number, and without
// keys.
#include "laburnumdyke/plugin/customer_status.h"

#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/load_replay.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr instant kStart{ 1000s };

customer_id
Name(int aIndex)
{
  return { "customer-" + std::to_string(aIndex) };
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_GROUP(CustomerActivity)
{
  customer_activity mActivity;
  instant mNow = kStart;

  // One request of each customer from aFirst up to but not including aLast in
  // each 100 ms.
  void Send(duration aTime, int aFirst, int aLast)
  {
    for (instant end = mNow + aTime; mNow < end; mNow += 100ms) {
      for (int i = aFirst; i < aLast; ++i) {
        mActivity.CountRequest(Name(i), mNow);
      }
    }
  }

  bool IsNamed(int aIndex)
  {
    activity_report report = mActivity.Report(mNow);
    return std::any_of(report.mNamed.begin(),
                       report.mNamed.end(),
                       [&](const named_activity& aOne) {
                         return aOne.mCustomer == Name(aIndex);
                       });
  }
};

// Guards against a metric for each customer, and against requests that no
// figure counts.
TEST(CustomerActivity, HasFiguresOfTheBusiestAlone)
{
  Send(1s, 0, 100);
  Send(60s, 50, 55);
  activity_report report = mActivity.Report(mNow);
  LONGS_EQUAL(customer_activity::kNamed, report.mNamed.size());
  std::uint64_t total = report.mOthers.mRequests;
  for (const named_activity& one : report.mNamed) {
    total += one.mCounts.mRequests;
  }
  LONGS_EQUAL(10 * 100 + 600 * 5, total);
  for (int i = 50; i < 55; ++i) {
    CHECK_TEXT(IsNamed(i), Name(i).mValue.c_str());
  }
}

TEST(CustomerActivity, CustomersOfAboutTheSameRateKeepTheirPlaces)
{
  Send(60s, 0, 40);
  for (int i = 0; i < 20; ++i) {
    CHECK(IsNamed(i));
  }
}

// Counters that decrease would be taken for a restart of the instance.
TEST(CustomerActivity, FiguresOfTheOthersNeverDecrease)
{
  std::uint64_t last = 0;
  for (int round = 0; round < 10; ++round) {
    Send(15s, round * 20, round * 20 + 20);
    mActivity.CountRefusal(Name(round * 20));
    std::uint64_t others = mActivity.Report(mNow).mOthers.mRequests;
    CHECK(others >= last);
    last = others;
  }
  CHECK(mActivity.Report(mNow).mOthers.mRefusals > 0);
}

TEST_GROUP(CustomerStatus)
{
  settings mSettings = FreeSettings("one", "east-a", "east");
  std::unique_ptr<kernel> mKernel;

  void setup() override
  {
    mSettings.mFront = front_kind::Hosts;
    mSettings.mBounds.mRevokeTimeout = 5s;
    std::vector<plugin_record> metrics;
    for (const plugin_record& record : registry::Records(front_kind::Hosts)) {
      if (record.mName == "metrics_http") {
        metrics.push_back(record);
      }
    }
    mKernel = std::make_unique<kernel>(mSettings, metrics);
    CHECK(!mKernel->Start(std::chrono::steady_clock::now()));
  }

  void teardown() override
  {
    mKernel->Stop();
  }

  // aCount customers with a quota of 10 a second each.
  void Configure(std::optional<int> aCount)
  {
    routing_document document;
    document.mVersion = 7;
    document.mRoutes = { ReplayRoute() };
    if (aCount) {
      document.mCustomers.emplace();
    }
    for (int i = 0; aCount && i < *aCount; ++i) {
      customer_spec customer;
      customer.mName = Name(i);
      customer.mKeys = { "s3cret-" + std::to_string(i) };
      customer.mPriority = 3;
      customer.mQuota = { 10, 20 };
      customer.mHomes = { { "east" }, { "west" } };
      document.mCustomers->push_back(customer);
    }
    std::shared_ptr<const route_table> routes =
      std::make_shared<const route_table>(std::move(document));
    mKernel->Table<routes_in_force>().With(
      [&](routes_in_force& aInForce) { aInForce.mRoutes = routes; });
    mKernel->Table<quota_state>().With([&](quota_state& aQuota) {
      if (routes->Customers() != nullptr) {
        aQuota.SetCustomers(routes->Customers()->All());
      }
    });
  }

  std::string Get(const std::string& aPath)
  {
    return SendRaw(mSettings.mOperator,
                   "GET " + aPath +
                     " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  }

  boost::json::object Status()
  {
    std::string answer = Get("/status");
    return boost::json::parse(answer.substr(answer.find("\r\n\r\n") + 4))
      .as_object();
  }
};

TEST(CustomerStatus, SaysWhatIsInForceWithAndWithoutCustomers)
{
  CHECK(Status().at("configuration_version").is_null());
  Configure(std::nullopt);
  LONGS_EQUAL(7, Status().at("configuration_version").to_number<int>());
  CHECK(!Status().contains("customers"));
  Configure(2);
  boost::json::object status = Status();
  LONGS_EQUAL(2, status.at("customers").to_number<int>());
  CHECK(status.at("knowledge_age_ms").is_null());
  CHECK(!status.at("accepts_keys").as_bool());
  CHECK(!status.contains("other_customers"));
  mKernel->Table<routes_in_force>().With([](routes_in_force& aInForce) {
    aInForce.mAge.RecordAnswer(boot_clock::Now(), 7s);
    aInForce.mAge.RecordCurrent(7, 7s);
  });
  status = Status();
  CHECK(status.at("knowledge_age_ms").to_number<int>() < 4000);
  CHECK(status.at("accepts_keys").as_bool());
  CHECK_FALSE(status.at("configuration_outdated").as_bool());
  mKernel->Table<routes_in_force>().With(
    [](routes_in_force& aInForce) { aInForce.mAge.RecordVersion(8); });
  CHECK(Status().at("configuration_outdated").as_bool());
}

TEST(CustomerStatus, ShowsTheBusiestCustomersAndSumsUpTheOthers)
{
  Configure(30);
  instant now = std::chrono::steady_clock::now();
  mKernel->Table<quota_state>().With([&](quota_state& aQuota) {
    aQuota.SetTotals({ { KeyOf(Name(29)), { 40, 9, 10 } } }, now);
    for (int i = 0; i < 4; ++i) {
      aQuota.Admit(Name(28), now);
    }
  });
  boost::json::object status = Status();
  const boost::json::array& rows = status.at("busiest_customers").as_array();
  LONGS_EQUAL(customer_activity::kNamed, rows.size());
  const boost::json::object& first = rows[0].as_object();
  STRCMP_EQUAL("customer-29", first.at("customer").as_string().c_str());
  STRCMP_EQUAL("fleet", first.at("figures_of").as_string().c_str());
  DOUBLES_EQUAL(10, first.at("rate_per_s").to_number<double>(), 1e-9);
  DOUBLES_EQUAL(20, first.at("burst").to_number<double>(), 1e-9);
  DOUBLES_EQUAL(40, first.at("demand_per_s").to_number<double>(), 1);
  DOUBLES_EQUAL(9, first.at("admitted_per_s").to_number<double>(), 1);
  CHECK(first.at("quota_share").to_number<double>() < 1); // some are silent
  LONGS_EQUAL(3, first.at("priority").to_number<int>());
  STRCMP_EQUAL("east, west", first.at("home_regions").as_string().c_str());
  const boost::json::object& second = rows[1].as_object();
  STRCMP_EQUAL("customer-28", second.at("customer").as_string().c_str());
  STRCMP_EQUAL("instance", second.at("figures_of").as_string().c_str());
  LONGS_EQUAL(
    10,
    status.at("other_customers").as_object().at("customers").to_number<int>());
  CHECK(status.at("fleet_usage_age_ms").is_number());
}

TEST(CustomerStatus, ShowsNoKey)
{
  Configure(5);
  CHECK(!Contains(Get("/status"), "s3cret"));
  CHECK(!Contains(Get("/metrics"), "s3cret"));
}

TEST(CustomerStatus, MetricsNameAtMostTheBusiest)
{
  CHECK(!Contains(Get("/metrics"), "customer_requests_total"));
  mKernel->Table<activity_state>().With([&](activity_state& aActivity) {
    for (int i = 0; i < 50; ++i) {
      aActivity.CountRequest(Name(i), kStart);
    }
    aActivity.CountRefusal(Name(3));
  });
  std::string metrics = Get("/metrics");
  CHECK(Contains(
    metrics,
    "laburnumdyke_customer_requests_total{customer=\"customer-3\"} 1\n"));
  CHECK(Contains(
    metrics,
    "laburnumdyke_customer_refusals_total{customer=\"customer-3\"} 1\n"));
  CHECK(Contains(
    metrics, "laburnumdyke_customer_requests_total{customer=\"other\"} 30\n"));
  CHECK(!Contains(metrics, "customer-20\""));
}

// Guards against an exposition that can't be parsed: names are the operator's.
TEST(CustomerStatus, NamesOfCustomersAreQuotedAndSeriesOccurOnce)
{
  activity_report report;
  report.mNamed = { { { "a\"b\\c\n" }, 1, { 2, 0 } },
                    { { "other" }, 1, { 3, 1 } } };
  report.mOthers = { 4, 1 };
  std::string metrics = RenderCustomerMetrics(report);
  CHECK(Contains(metrics, "{customer=\"a\\\"b\\\\c\\n\"} 2\n"));
  CHECK(Contains(metrics, "requests_total{customer=\"other\"} 7\n"));
  CHECK(Contains(metrics, "refusals_total{customer=\"other\"} 2\n"));
}
