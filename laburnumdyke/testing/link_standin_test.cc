// The link's stand-in: cuts, stalls and delays.
#include "laburnumdyke/testing/standin/link_standin.h"
#include "laburnumdyke/testing/standin/upstream_standin.h"
#include "laburnumdyke/testing/standin_client.h"

#include <chrono>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(LinkStandin)
{
  background mBackground;
  std::unique_ptr<upstream_standin> mUpstream;
  std::unique_ptr<link_standin> mLink;
  std::uint16_t mPort = 0;

  void setup() override
  {
    mUpstream = std::make_unique<upstream_standin>(mBackground.mContext,
                                                   upstream_standin_options{});
    CHECK(!mUpstream->Start());
    mLink = std::make_unique<link_standin>(
      mBackground.mContext,
      link_standin_options{
        .mTo = endpoint{ "127.0.0.1", mUpstream->Port() },
        .mControlListen = endpoint{ "127.0.0.1", 0 },
      });
    CHECK(!mLink->Start());
    mPort = mLink->Port();
  }

  void teardown() override
  {
    mLink.reset();
    mUpstream.reset();
    mBackground.Join();
  }

  reply SetLink(std::string_view aJson)
  {
    return Control(mLink->ControlPort(), aJson);
  }
};

TEST(LinkStandin, CutsAndHeals)
{
  client kept(mPort);
  for (int round = 0; round < 3; round++) {
    client open(mPort);
    open.Send(Request("GET /a?bytes=300000"));
    UNSIGNED_LONGS_EQUAL(300000, open.Receive().mMessage.body().size());
    UNSIGNED_LONGS_EQUAL(200, SetLink("{\"cut\":true}").mStatus);
    CHECK(open.ReadsEnd());
    CHECK(!client(mPort).mConnected);
    UNSIGNED_LONGS_EQUAL(200, SetLink("{\"cut\":false}").mStatus);
  }
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  mLink->Set({ .mCut = true });
  CHECK(Eventually([&]() { return !client(mPort).mConnected; }));
}

TEST(LinkStandin, StallsAndDelays)
{
  UNSIGNED_LONGS_EQUAL(200, SetLink("{\"stalled\":true}").mStatus);
  client waiting(mPort);
  waiting.Send(Request("GET /a", Field(kId, "q1")));
  CHECK(Eventually(
    [&]() { return Counter(mLink->ControlPort(), "/connections") == 1; }));
  LONGS_EQUAL(0, Counter(mUpstream->Port(), "/runs"));
  SetLink("{\"stalled\":false,\"delay_ms\":30}");
  UNSIGNED_LONGS_EQUAL(200, waiting.Receive().mStatus);
  instant before = std::chrono::steady_clock::now();
  UNSIGNED_LONGS_EQUAL(200, Exchange(mPort, Request("GET /a")).mStatus);
  CHECK(std::chrono::steady_clock::now() - before >= 60ms);
}

TEST(LinkStandin, ClosesOnBothSidesAndRefusesBadControl)
{
  client caller(mPort);
  caller.Send(HeldRequest());
  CHECK(Eventually(
    [&]() { return Number(mUpstream->Port(), "/load", "/busy") == 1; }));
  caller.Close();
  CHECK(Eventually(
    [&]() { return Counter(mUpstream->Port(), "/cancelled") == 1; }));
  client relayed(mPort);
  relayed.Send(HeldRequest());
  CHECK(Eventually(
    [&]() { return Number(mUpstream->Port(), "/load", "/busy") == 1; }));
  mUpstream->Stop();
  CHECK(relayed.ReadsEnd());
  CHECK(client(mPort).ReadsEnd()); // the far end refuses
  CHECK(Eventually(
    [&]() { return Counter(mLink->ControlPort(), "/unreachable") >= 1; }));
  for (const char* json : { "{", "{\"cut\":2}", "{\"delay_ms\":600001}" }) {
    UNSIGNED_LONGS_EQUAL_TEXT(400, SetLink(json).mStatus, json);
  }
}
