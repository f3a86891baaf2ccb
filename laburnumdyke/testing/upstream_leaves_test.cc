// Requests whose upstream begins to leave between its choice and the send.
#include "laburnumdyke/plugin/http_server.h"
#include "laburnumdyke/plugin/steered_pipeline.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_front.h"
#include "laburnumdyke/testing/harness/one_kernel.h"
#include "platform/header_dialect.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

// Before the first attempt the chosen upstream announces that it leaves, as if
// setting up the connection had taken long.
struct leaving_transport
{
  explicit leaving_transport(kernel& aKernel)
    : mTables(aKernel)
    , mTransport(aKernel)
  {
  }

  asio::awaitable<attempt_outcome> Attempt(http_exchange& aExchange,
                                           const upstream_attempt& aAttempt)
  {
    if (!mLeft) {
      mLeft = aAttempt.mTo;
      Drain(aAttempt.mTo);
    }
    return mTransport.Attempt(aExchange, aAttempt);
  }

  void Drain(const endpoint& aAddress)
  {
    mTables.Steering().With([&](steering_state& aSteering) {
      instant now = std::chrono::steady_clock::now();
      for (upstream_entry entry : aSteering.Directory().Entries()) {
        if (entry.mAddress == aAddress) {
          entry.mDraining = true;
          ++entry.mSequence;
          aSteering.Apply(aSteering.Directory().Put(entry, now), now);
        }
      }
    });
  }

  steering_tables mTables;
  upstream_transport mTransport;
  std::optional<endpoint> mLeft;
};

struct leaving_handler
{
  steered_pipeline<header_dialect, leaving_transport>& mPipeline;

  asio::awaitable<void> Handle(http_exchange& aExchange)
  {
    return mPipeline.Serve(aExchange);
  }
};

} // namespace

TEST_GROUP(UpstreamLeaves)
{
  one_front mFront;
  leaving_transport mTransport{ *mFront.mKernel };
  steered_pipeline<header_dialect, leaving_transport> mPipeline{
    *mFront.mKernel, mTransport
  };
  leaving_handler mHandler{ mPipeline };
  http_server<leaving_handler> mServer{ *mFront.mKernel, mHandler };
  endpoint mAddress = FreeEndpoint();

  void setup() override
  {
    mFront.Configure(true);
    mFront.mFirst.Script({ kWholeAnswer });
    mFront.mSecond.Script({ kWholeAnswer });
    CHECK_FALSE(mServer.Listen(mAddress).has_value());
  }

  void teardown() override
  {
    mFront.mKernel->Stop(); // no worker may run while the server closes
    mServer.Close();
  }

  void CheckSentToAnother(const std::string& aMethod, const std::string& aPath)
  {
    std::string answer = SendRaw(mAddress, FrontRequest(aMethod, aPath));
    STRCMP_CONTAINS("200 OK", answer.c_str());
    bool isFirst = mTransport.mLeft == mFront.mFirst.mAddress;
    scripted_upstream& leaving = isFirst ? mFront.mFirst : mFront.mSecond;
    LONGS_EQUAL(0, leaving.Requests().size());
    LONGS_EQUAL(1, mFront.Arrivals());
  }
};

// DRAIN: the connection was up long after the upstream was chosen, and nothing
// asked again whether it still took requests.
TEST(UpstreamLeaves, ARequestThatMayRepeatIsSentToAnother)
{
  CheckSentToAnother("GET", "/read/1");
}

TEST(UpstreamLeaves, ARequestThatMayRunOnceIsSentToAnother)
{
  CheckSentToAnother("POST", "/write/1");
}
