// Reports of restarted upstreams between instances, with messages delivered by
// the test.
#include "laburnumdyke/plugin/restart_exchange.h"

#include "laburnumdyke/testing/harness/load_replay.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <deque>
#include <memory>
#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kUpstreamCount = 200; // more than one message can have

struct model_instance
{
  std::unique_ptr<kernel> mKernel;
  std::unique_ptr<restart_exchange> mExchange;
  fleet_member mMember;
};

std::vector<upstream_entry>
Upstreams()
{
  std::vector<upstream_entry> entries;
  for (std::size_t i = 0; i < kUpstreamCount; ++i) {
    entries.push_back(ReplayUpstream("u" + std::to_string(i), "east-a"));
    entries.back().mBorn = 1000ms;
  }
  return entries;
}

} // namespace

TEST_GROUP(RestartExchange)
{
  std::deque<model_instance> mInstances;
  const instant mNow = kReplayStart;

  void setup() override
  {
    for (const char* domain : { "east-a", "east-b", "west-a", "west-b" }) {
      for (const char* number : { "1", "2", "3" }) {
        Make(std::string(domain) + "-" + number, domain);
      }
    }
    for (model_instance& one : mInstances) {
      Register(one);
    }
  }

  void Make(const std::string& aName, const std::string& aDomain)
  {
    settings made =
      FreeSettings(aName, aDomain, aDomain.substr(0, aDomain.find('-')));
    made.mFront = front_kind::Hosts;
    made.mIncarnation = mInstances.size() + 1;
    model_instance& one = mInstances.emplace_back();
    one.mKernel = std::make_unique<kernel>(made, std::vector<plugin_record>());
    one.mMember = one.mKernel->Table<fleet_state>().With(
      [](fleet_state& aFleet) { return aFleet.Self(); });
    one.mMember.mPeer.mPort = static_cast<std::uint16_t>(mInstances.size());
    one.mExchange = std::make_unique<restart_exchange>(
      *one.mKernel, asio::make_strand(one.mKernel->Context()));
  }

  // Makes the fleet and the upstreams known to an instance.
  void Register(model_instance & aOne)
  {
    aOne.mKernel->Table<fleet_state>().With([&](fleet_state& aFleet) {
      std::vector<fleet_member> members;
      for (const model_instance& one : mInstances) {
        members.push_back(one.mMember);
      }
      aFleet.Replace(members);
      for (const fleet_member& member : members) {
        fleet_heartbeat heartbeat;
        heartbeat.mSender = member;
        if (member.mRegion == aFleet.Self().mRegion) {
          aFleet.ReceiveHeartbeat(heartbeat, mNow);
        }
      }
    });
    aOne.mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
      aSteering.SetRules(ReplayRules());
      aSteering.Apply(aSteering.Directory().Replace(Upstreams(), mNow), mNow);
    });
  }

  void Deliver(const std::vector<addressed_message>& aMessages)
  {
    std::deque<addressed_message> queue(aMessages.begin(), aMessages.end());
    for (; !queue.empty(); queue.pop_front()) {
      for (model_instance& one : mInstances) {
        if (one.mMember.mPeer == queue.front().mTarget) {
          fleet_message decoded = DecodeFleetMessage(queue.front().mBytes);
          restart_message* restarts = std::get_if<restart_message>(&decoded);
          CHECK(restarts != nullptr);
          for (addressed_message& more :
               one.mExchange->Receive(std::move(*restarts), mNow)) {
            queue.push_back(std::move(more));
          }
        }
      }
    }
  }

  std::size_t Suspected(model_instance & aOne)
  {
    return aOne.mKernel->Table<steering_state>().With(
      [&](steering_state& aSteering) {
        return aSteering.RecentlySuspected(mNow).size();
      });
  }
};

// Guards against instances, also of other regions and more than one message
// away, that send to an upstream what they would have sent to its former start.
TEST(RestartExchange, EveryInstanceLearnsOfEveryUpstream)
{
  model_instance& seen = mInstances[4];
  std::vector<restart_report> reports;
  for (const upstream_entry& entry : Upstreams()) {
    reports.push_back({ entry.mId, entry.mBorn });
  }
  seen.mKernel->Table<restart_outbox>().With(
    [&](restart_outbox& aOutbox) { aOutbox.Add(reports); });
  Deliver(seen.mExchange->Compose());
  CHECK(Suspected(mInstances[0]) > 0);
  Deliver(seen.mExchange->Compose());
  for (model_instance& one : mInstances) {
    LONGS_EQUAL(&one == &seen ? 0 : kUpstreamCount, Suspected(one));
  }
  CHECK_FALSE(seen.mExchange->Targets().empty());
}

// Guards against messages that are passed on for ever.
TEST(RestartExchange, APassedOnMessageIsNotPassedOnAgain)
{
  restart_message message{ { { { "u1" }, 1000ms } }, true };
  CHECK(mInstances[0].mExchange->Receive(message, mNow).empty());
  LONGS_EQUAL(1, Suspected(mInstances[0]));
  message.mRelayed = false;
  LONGS_EQUAL(2, mInstances[0].mExchange->Receive(message, mNow).size());
}

TEST(RestartExchange, MalformedMessagesAreRejected)
{
  restart_message sent;
  sent.mReports.assign(kMaxRestartReports,
                       { { std::string(200, 'x') }, 1000ms });
  std::string bytes = EncodeRestarts(sent);
  fleet_message read = DecodeFleetMessage(bytes);
  CHECK(std::get<restart_message>(read).mReports == sent.mReports);
  for (std::size_t size = 0; size < bytes.size(); size += 7) {
    DecodeFleetMessage(std::string_view(bytes).substr(0, size));
  }
  // A list of times that is shorter than that of names.
  read = DecodeFleetMessage("\x62\x03\x0a\x01u");
  CHECK(std::holds_alternative<std::monostate>(read));
}
