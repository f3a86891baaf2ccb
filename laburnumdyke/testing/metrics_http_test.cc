// Tests of the metrics addresses of an instance that routes by host and path.
#include "laburnumdyke/plugin/http_types.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

TEST_GROUP(MetricsHttp)
{
  settings mSettings = FreeSettings("one", "east-a", "east");
  std::unique_ptr<kernel> mKernel;

  void setup() override
  {
    mSettings.mFront = front_kind::Hosts;
    mSettings.mMetrics = FreeEndpoint();
  }

  void teardown() override
  {
    mKernel->Stop();
  }

  void Start()
  {
    std::vector<plugin_record> metrics;
    for (const plugin_record& record : registry::Records(front_kind::Hosts)) {
      if (record.mName == "metrics_http") {
        metrics.push_back(record);
      }
    }
    LONGS_EQUAL(1, metrics.size());
    mKernel = std::make_unique<kernel>(mSettings, metrics);
    CHECK(!mKernel->Start(std::chrono::steady_clock::now()));
    mKernel->Counters().Add("seen_total");
  }

  static bool HasCounter(const endpoint& aAddress)
  {
    std::string answer = SendRaw(aAddress,
                                 "GET /metrics HTTP/1.1\r\nHost: a\r\n"
                                 "Connection: close\r\n\r\n");
    return answer.find("laburnumdyke_seen_total 1") != std::string::npos;
  }
};

TEST(MetricsHttp, ServesCountersAtBothAddresses)
{
  Start();
  CHECK(HasCounter(mSettings.mOperator));
  CHECK(HasCounter(mSettings.mMetrics));
}

TEST(MetricsHttp, StartsIfMonitoringPortIsInUse)
{
  asio::io_context context;
  tcp::acceptor other(context, ToAsio(mSettings.mMetrics));
  Start();
  CHECK(HasCounter(mSettings.mOperator));
}
