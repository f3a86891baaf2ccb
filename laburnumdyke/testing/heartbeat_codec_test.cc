// Heartbeats there and back, broken ones by a table, and mutated ones.
#include "laburnumdyke/plugin/heartbeat_codec.h"
#include "laburnumdyke/proto/peer.pb.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using std::chrono::milliseconds;

namespace {

heartbeat
Sample()
{
  heartbeat sample;
  sample.mSender = { { "leinster-a-1" }, 7,
                     { "leinster" },     { "leinster-a" },
                     { "127.0.0.1", 1 }, { "127.0.0.1", 2 },
                     { "::1", 3 },       true };
  sample.mSequence = 9;
  sample.mVersion = 3;
  sample.mContentHash = std::string("\0\xff", 2);
  sample.mStamp = milliseconds(1234);
  sample.mCredits = { { { "reports" }, 9, 4 } };
  sample.mKnownPeers = { { "127.0.0.1", 4 } };
  sample.mLease.mEligible = true;
  sample.mLease.mAcks = { { { "leinster-a-2" }, 5, 6 } };
  sample.mLease.mReports = { { { "report-1" }, true, 2, milliseconds(70) } };
  sample.mLease.mSilent = { { { "leinster-a-3" }, 8, milliseconds(90) } };
  return sample;
}

struct broken_row
{
  const char* mCase;
  std::function<void(proto::heartbeat&)> mBreak;
};

const std::string kLongName(5000, 'a');
constexpr std::uint64_t kTooLong = ~std::uint64_t{ 0 };

const std::vector<broken_row> kBroken = {
  { "no name", [](proto::heartbeat& aIt) { aIt.clear_instance(); } },
  { "bad name", [](proto::heartbeat& aIt) { aIt.set_instance("A b"); } },
  { "long name", [](proto::heartbeat& aIt) { aIt.set_region(kLongName); } },
  { "no domain", [](proto::heartbeat& aIt) { aIt.clear_failure_domain(); } },
  { "host name", [](proto::heartbeat& aIt) { aIt.set_peer("host:1"); } },
  { "no port", [](proto::heartbeat& aIt) { aIt.set_relay("127.0.0.1"); } },
  { "endless stamp",
    [](proto::heartbeat& aIt) { aIt.set_stamp_ms(kTooLong); } },
  { "service", [](proto::heartbeat& aIt) { aIt.add_credits(); } },
  { "known peer", [](proto::heartbeat& aIt) { aIt.add_known_peers("x"); } },
  { "ack", [](proto::heartbeat& aIt) { aIt.mutable_lease()->add_acks(); } },
  { "report",
    [](proto::heartbeat& aIt) { aIt.mutable_lease()->add_reports(); } },
  { "endless report",
    [](proto::heartbeat& aIt) {
      aIt.mutable_lease()->mutable_reports(0)->set_busy_for_ms(kTooLong);
    } },
  { "endless age",
    [](proto::heartbeat& aIt) {
      aIt.mutable_lease()->mutable_silent(0)->set_age_ms(kTooLong);
    } },
  { "too many acks",
    [](proto::heartbeat& aIt) {
      for (int i = 0; i < kMostListed; ++i) {
        aIt.mutable_lease()->add_acks()->set_instance("a");
      }
    } },
};

} // namespace

TEST_GROUP(HeartbeatCodec){};

TEST(HeartbeatCodec, KeepsEveryField)
{
  std::string bytes = EncodeHeartbeat(Sample());
  std::optional<heartbeat> decoded = DecodeHeartbeat(bytes);
  CHECK(decoded.has_value());
  CHECK_EQUAL(bytes, EncodeHeartbeat(*decoded));
  CHECK_EQUAL(std::string("leinster-a-2"),
              decoded->mLease.mAcks.at(0).mInstance.mValue);
  CHECK_EQUAL(6u, decoded->mLease.mAcks.at(0).mSequence);
  CHECK_EQUAL(2u, decoded->mLease.mReports.at(0).mOccupied);
  CHECK(decoded->mLease.mReports.at(0).mBusyFor == milliseconds(70));
  CHECK(decoded->mLease.mSilent.at(0).mAge == milliseconds(90));
  CHECK(decoded->mSender.mLeaving);
}

TEST(HeartbeatCodec, RefusesBrokenOnes)
{
  for (const broken_row& row : kBroken) {
    proto::heartbeat message;
    CHECK(message.ParseFromString(EncodeHeartbeat(Sample())));
    row.mBreak(message);
    CHECK_FALSE_TEXT(DecodeHeartbeat(message.SerializeAsString()).has_value(),
                     row.mCase);
  }
  CHECK(!DecodeHeartbeat("").has_value());
  CHECK(!DecodeHeartbeat(std::string(kLongestHeartbeat + 1, '\0')).has_value());
}

TEST(HeartbeatCodec, SurvivesRandomAndMutatedBytes)
{
  std::mt19937_64 random(20);
  std::string whole = EncodeHeartbeat(Sample());
  std::size_t accepted = 0;
  for (int round = 0; round < 100000; ++round) {
    std::string bytes = whole;
    if (round % 4 == 0) {
      bytes.resize(random() % 300);
      for (char& one : bytes) {
        one = static_cast<char>(random());
      }
    }
    for (std::uint64_t i = random() % 4; i > 0 && !bytes.empty(); --i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
      bytes.resize(random() % (bytes.size() + 1));
    }
    std::optional<heartbeat> decoded = DecodeHeartbeat(bytes);
    if (decoded) {
      ++accepted;
      CHECK(DecodeHeartbeat(EncodeHeartbeat(*decoded)).has_value());
    }
  }
  CHECK(accepted > 0);
}
