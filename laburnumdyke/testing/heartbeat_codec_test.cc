// Tests round trips of heartbeats, a table of invalid ones, and mutated bytes.
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
FullSample()
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
  sample.mLease.mAcks = { { 5, 6 } };
  sample.mLease.mAsked = { { 7, 8 } };
  sample.mLease.mReports = { { { "report-1" }, true, 2, milliseconds(70) } };
  sample.mLease.mSilent = { { { "leinster-a-3" }, 8, milliseconds(90) } };
  return sample;
}

heartbeat
DeltaSample()
{
  heartbeat sample;
  sample.mDeltaSender = 77;
  sample.mSender.mLeaving = true;
  sample.mSequence = 9;
  sample.mStamp = milliseconds(1234);
  sample.mSameDocument = true;
  sample.mSameCredits = true;
  sample.mLoad = { 4, 0, 300 };
  sample.mLease.mSameHoldings = true;
  sample.mLease.mAcks = { { 5, 6 } };
  return sample;
}

struct invalid_row
{
  const char* mCase;
  std::function<void(proto::heartbeat&)> mInvalidate;
};

const std::string kLongName(5000, 'a');
constexpr std::uint64_t kTooLong = ~std::uint64_t{ 0 };

const std::vector<invalid_row> kInvalid = {
  { "no name",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_sender()->clear_instance();
    } },
  { "bad name",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_sender()->set_instance("A b");
    } },
  { "long name",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_sender()->set_region(kLongName);
    } },
  { "no domain",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_sender()->clear_failure_domain();
    } },
  { "host name",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_sender()->set_peer("host:1");
    } },
  { "no port",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_sender()->set_relay("127.0.0.1");
    } },
  { "endless stamp",
    [](proto::heartbeat& aMessage) { aMessage.set_stamp_ms(kTooLong); } },
  { "service",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_credits()->add_credits();
    } },
  { "known peer",
    [](proto::heartbeat& aMessage) { aMessage.add_known_peers("x"); } },
  { "ack",
    [](proto::heartbeat& aMessage) { aMessage.mutable_lease()->add_acks(); } },
  { "asked",
    [](proto::heartbeat& aMessage) { aMessage.mutable_lease()->add_asked(); } },
  { "no sender", [](proto::heartbeat& aMessage) { aMessage.clear_sender(); } },
  { "two senders",
    [](proto::heartbeat& aMessage) { aMessage.set_sender_key(1); } },
  { "full without document",
    [](proto::heartbeat& aMessage) { aMessage.clear_document(); } },
  { "full without credits",
    [](proto::heartbeat& aMessage) { aMessage.clear_credits(); } },
  { "full with load",
    [](proto::heartbeat& aMessage) { aMessage.add_load(1); } },
  { "full with the same holdings",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_lease()->set_same_holdings(true);
    } },
  { "report",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_lease()->add_reports();
    } },
  { "endless report",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_lease()->mutable_reports(0)->set_busy_for_ms(kTooLong);
    } },
  { "endless age",
    [](proto::heartbeat& aMessage) {
      aMessage.mutable_lease()->mutable_silent(0)->set_age_ms(kTooLong);
    } },
  { "too many acks",
    [](proto::heartbeat& aMessage) {
      for (int i = 0; i < kMaxListEntries; ++i) {
        aMessage.mutable_lease()->add_acks()->set_member(1);
      }
    } },
};

} // namespace

TEST_GROUP(HeartbeatCodec){};

TEST(HeartbeatCodec, KeepsEveryField)
{
  std::string bytes = EncodeHeartbeat(FullSample());
  std::optional<heartbeat> decoded = DecodeHeartbeat(bytes);
  CHECK(decoded.has_value());
  CHECK_EQUAL(bytes, EncodeHeartbeat(*decoded));
  CHECK_EQUAL(5u, decoded->mLease.mAcks.at(0).mMember);
  CHECK_EQUAL(7u, decoded->mLease.mAsked.at(0).mMember);
  CHECK_EQUAL(6u, decoded->mLease.mAcks.at(0).mSequence);
  CHECK_EQUAL(2u, decoded->mLease.mReports.at(0).mOccupied);
  CHECK(decoded->mLease.mReports.at(0).mBusyFor == milliseconds(70));
  CHECK(decoded->mLease.mSilent.at(0).mAge == milliseconds(90));
  CHECK(decoded->mSender.mLeaving);
  CHECK(!decoded->mDeltaSender && !decoded->mSameDocument);
}

TEST(HeartbeatCodec, KeepsEveryFieldOfADelta)
{
  std::optional<heartbeat> decoded =
    DecodeHeartbeat(EncodeHeartbeat(DeltaSample()));
  CHECK(decoded.has_value());
  CHECK(decoded->mDeltaSender == 77);
  CHECK(decoded->mSender.mLeaving);
  CHECK_EQUAL(9u, decoded->mSequence);
  CHECK(decoded->mStamp == milliseconds(1234));
  CHECK(decoded->mSameDocument && decoded->mSameCredits);
  CHECK(decoded->mLoad == DeltaSample().mLoad);
  CHECK(decoded->mLease.mSameHoldings);
  CHECK_EQUAL(5u, decoded->mLease.mAcks.at(0).mMember);
}

TEST(HeartbeatCodec, RejectsInvalidHeartbeats)
{
  for (const invalid_row& row : kInvalid) {
    proto::heartbeat message;
    CHECK(message.ParseFromString(EncodeHeartbeat(FullSample())));
    row.mInvalidate(message);
    CHECK_FALSE_TEXT(DecodeHeartbeat(message.SerializeAsString()).has_value(),
                     row.mCase);
  }
  CHECK(!DecodeHeartbeat("").has_value());
  CHECK(
    !DecodeHeartbeat(std::string(kMaxHeartbeatBytes + 1, '\0')).has_value());
}

TEST(HeartbeatCodec, SurvivesRandomAndMutatedBytes)
{
  std::mt19937_64 random(20);
  const std::vector<std::string> samples = { EncodeHeartbeat(FullSample()),
                                             EncodeHeartbeat(DeltaSample()) };
  std::size_t accepted = 0;
  for (int round = 0; round < 100000; ++round) {
    std::string bytes = samples[round % 2];
    if (round % 5 == 0) {
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
