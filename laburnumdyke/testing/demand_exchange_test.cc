// The exchange of demand between instances, with messages delivered by the
// test.
#include "laburnumdyke/plugin/demand_exchange.h"

#include "laburnumdyke/plugin/demand_view.h"
#include "laburnumdyke/testing/harness/load_replay.h"
#include "laburnumdyke/testing/harness/one_kernel.h"

#include <deque>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

// An instance whose fleet and messages are those of the test.
struct model_instance
{
  settings mSettings;
  std::unique_ptr<kernel> mKernel;
  std::unique_ptr<demand_exchange> mExchange;
  fleet_member mMember;
};

settings
SettingsOf(const std::string& aName, const std::string& aDomain)
{
  settings made =
    FreeSettings(aName, aDomain, aDomain.substr(0, aDomain.find('-')));
  made.mFront = front_kind::Hosts;
  made.mDomains = { { "east-a", "east" }, { "west-a", "west" } };
  return made;
}

} // namespace

TEST_GROUP(DemandExchange)
{
  std::deque<model_instance> mInstances;
  instant mNow = kReplayStart;
  std::size_t mMessages = 0;

  void Make(uneven_load aSetting)
  {
    for (const char* name : { "e1", "e2", "w1", "w2" }) {
      model_instance& one = mInstances.emplace_back();
      one.mSettings = SettingsOf(name, name[0] == 'e' ? "east-a" : "west-a");
      one.mSettings.mUnevenLoad = aSetting;
      one.mSettings.mIncarnation = mInstances.size(); // the oldest is the first
      one.mKernel =
        std::make_unique<kernel>(one.mSettings, std::vector<plugin_record>());
      one.mMember = one.mKernel->Table<fleet_state>().With(
        [](fleet_state& aFleet) { return aFleet.Self(); });
      one.mMember.mPeer.mPort = static_cast<std::uint16_t>(mInstances.size());
    }
    for (model_instance& one : mInstances) {
      one.mExchange = std::make_unique<demand_exchange>(*one.mKernel);
      Register(one);
    }
  }

  // Makes the fleet and the upstreams known to an instance.
  void Register(model_instance & aOne)
  {
    std::vector<fleet_member> members;
    for (const model_instance& one : mInstances) {
      members.push_back(one.mMember);
    }
    std::vector<instance_location> locations =
      aOne.mKernel->Table<fleet_state>().With([&](fleet_state& aFleet) {
        aFleet.Replace(members);
        for (int i = 0; i < fleet_view::kMinReadings; ++i) {
          aFleet.CountReading(true);
        }
        return aFleet.InstanceLocations();
      });
    CHECK_EQUAL(4u, locations.size());
    aOne.mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
      aSteering.SetFleet(locations);
      aSteering.Apply(
        aSteering.Directory().Replace(
          { ReplayUpstream("e", "east-a"), ReplayUpstream("w", "west-a") },
          mNow),
        mNow);
    });
  }

  // aCount requests at an instance. aReports: answers tell how long work takes.
  void Ask(model_instance & aOne, int aCount, bool aReports)
  {
    route_spec route = ReplayRoute();
    std::vector<upstream_id> tried;
    aOne.mKernel->Table<steering_state>().With([&](steering_state& aSteering) {
      for (int i = 0; i < aCount; ++i) {
        steering_choice choice = aSteering.Choose(
          { route, { "sheets" }, "", mNow, mNow + 3s, tried }, mNow);
        attempt_report report;
        report.mResult = attempt_result::Answered;
        report.mTook = 100ms;
        report.mLoad = reported_load{ 0, 0, 3 };
        if (aReports) {
          report.mLoad->mWorkPercent = 100;
        }
        aSteering.Begin(*choice.mTarget, mNow);
        aSteering.End(*choice.mTarget, report, mNow);
      }
    });
  }

  void Deliver(std::vector<addressed_message> aMessages)
  {
    std::deque<addressed_message> queue(aMessages.begin(), aMessages.end());
    for (; !queue.empty(); queue.pop_front()) {
      ++mMessages;
      for (model_instance& one : mInstances) {
        if (one.mMember.mPeer == queue.front().mTarget) {
          fleet_message decoded = DecodeFleetMessage(queue.front().mBytes);
          demand_message* demand = std::get_if<demand_message>(&decoded);
          CHECK(demand != nullptr);
          for (addressed_message& more :
               one.mExchange->Receive(std::move(*demand), mNow)) {
            queue.push_back(std::move(more));
          }
        }
      }
    }
  }

  // Instances exchange demand; those of a domain hear each other.
  void Exchange(std::chrono::seconds aFor, bool aReports)
  {
    for (instant end = mNow + aFor; mNow < end; mNow += kDemandPeriod) {
      for (model_instance& one : mInstances) {
        one.mKernel->Table<fleet_state>().With([&](fleet_state& aFleet) {
          for (const model_instance& other : mInstances) {
            fleet_heartbeat heartbeat;
            heartbeat.mSender = other.mMember;
            if (other.mMember.mRegion == one.mMember.mRegion) {
              aFleet.ReceiveHeartbeat(heartbeat, mNow);
            }
          }
        });
      }
      Ask(mInstances[0], 6, aReports);
      Ask(mInstances[3], 18, aReports);
      for (model_instance& one : mInstances) {
        Deliver(one.mExchange->Compose(mNow));
      }
    }
  }

  // What an instance knows of the service, or nullopt.
  std::optional<demand_explanation> Known(model_instance & aOne)
  {
    std::vector<std::pair<service_id, demand_explanation>> described =
      aOne.mKernel->Table<steering_state>().With(
        [&](steering_state& aSteering) {
          return aSteering.DescribeDemand(5, mNow);
        });
    return described.empty() ? std::nullopt
                             : std::optional(described.front().second);
  }
};

TEST(DemandExchange, EachInstanceLearnsTheDemandOfAllRegions)
{
  Make(uneven_load::Always);
  Exchange(60s, true);
  for (model_instance* one : { &mInstances[0], &mInstances[3] }) {
    std::optional<demand_explanation> known = Known(*one);
    CHECK(known.has_value());
    CHECK(known->mAge.has_value());
    CHECK_EQUAL(2u, known->mRegions.size());
    DOUBLES_EQUAL(6, known->mRegions[0].mDemand, 1.2);
    DOUBLES_EQUAL(18, known->mRegions[1].mDemand, 3.6);
    CHECK(RenderDemand(*one->mKernel, mNow).find("region=\"west\"") !=
          std::string::npos);
  }
}

// Deployments that don't ask for it send what they sent before, whatever their
// upstreams report.
TEST(DemandExchange, NothingIsSentWhereDemandIsNotUsed)
{
  Make(uneven_load::Auto);
  Exchange(5s, true);
  CHECK_EQUAL(0u, mMessages);
  CHECK_FALSE(Known(mInstances[0]).has_value());
}

TEST_GROUP(DemandCodec){};

TEST(DemandCodec, DemandIsDecodedAsEncodedAndBoundedInSize)
{
  demand_message sent;
  sent.mScope = usage_scope::Fleet;
  sent.mTotals[{ "east" }] = { 3, { { 7, 1.5 }, { 8, 300 } } };
  sent.mTotals[{ "west" }] = { 2, { { 8, 0.25 } } };
  fleet_message message = DecodeFleetMessage(EncodeDemand(sent));
  demand_message* read = std::get_if<demand_message>(&message);
  CHECK(read != nullptr);
  CHECK(read->mScope == usage_scope::Fleet && !read->mRelayed);
  CHECK_EQUAL(3u, read->mTotals.at({ "east" }).mReporters);
  CHECK(read->mTotals.at({ "east" }).mDemand ==
        sent.mTotals.at({ "east" }).mDemand);
  CHECK(read->mTotals.at({ "west" }).mDemand ==
        sent.mTotals.at({ "west" }).mDemand);
  for (service_key key = 0; key < 5000; ++key) {
    sent.mTotals.at({ "east" }).mDemand.emplace(key, 1);
  }
  std::string bytes = EncodeDemand(sent);
  CHECK(bytes.size() <= kMaxFleetMessageBytes);
  message = DecodeFleetMessage(bytes);
  read = std::get_if<demand_message>(&message);
  CHECK(read != nullptr);
  CHECK_EQUAL(kMaxDemandServices, read->mTotals.at({ "east" }).mDemand.size());
  CHECK(read->mTotals.at({ "east" }).mDemand.count(8) == 1);
  for (std::size_t size = 0; size < bytes.size(); size += 7) {
    DecodeFleetMessage(std::string_view(bytes).substr(0, size));
  }
  sent.mScope = usage_scope::Domain; // a domain has one region
  message = DecodeFleetMessage(EncodeDemand(sent));
  CHECK(std::holds_alternative<std::monostate>(message));
}
