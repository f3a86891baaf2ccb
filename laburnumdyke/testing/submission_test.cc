// Tests submissions: the text form of the row, a table of faults, and random
// runs of several submitters against a model of the platform.
#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/decision/submission.h"

#include <deque>
#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

using std::chrono::milliseconds;

std::string
Text(std::uint32_t aQueue)
{
  return "[region leinster]\ncap = 1\n"
         "[failure_domain leinster-a]\nregion = leinster\n"
         "[service booking]\nrank = urgent\n"
         "[upstream booking-1]\nservice = booking\n"
         "failure_domain = leinster-a\naddress = 10.0.0.1:80\n"
         "slots = 3\nconnections = 650\n"
         "[rank urgent]\nqueue = " +
         std::to_string(aQueue) + "\n";
}

std::string
HashOf(std::uint32_t aQueue)
{
  return DocumentHash(RenderDocument(*ParseDocument(Text(aQueue)).mDocument));
}

submission_request
Request(std::uint32_t aQueue, std::string aChangeId)
{
  submission_request request;
  request.mText = Text(aQueue);
  request.mChangeId = std::move(aChangeId);
  request.mSubmitter = "niamh";
  return request;
}

enum class fault
{
  None,
  Outage,              // no effect and no response
  LostAnswer,          // takes effect, but the response is lost
  LostAnswerLateWrite, // as above, but takes effect one step later
  OtherWriteFirst,     // another operator's write takes effect just before
};

// Model of the platform's table and object store.
struct model_store
{
  std::uint64_t mRevision = 0;
  std::string mValue;
  std::map<std::string, std::string> mObjects;
  std::vector<config_version> mApplied; // one for each write that took effect
  std::deque<write_row_action> mLate;

  bool Write(const write_row_action& aWrite)
  {
    if (aWrite.mRevision != mRevision) {
      return false;
    }
    ++mRevision;
    mValue = aWrite.mValue;
    std::optional<config_row> row = DecodeConfigRow(mValue);
    CHECK(row.has_value());
    CHECK(mObjects.count(row->mContentHash) == 1);
    CHECK_EQUAL(mApplied.size() + 1, row->mVersion);
    mApplied.push_back(*row);
    return true;
  }

  void ApplyLate()
  {
    if (!mLate.empty()) {
      write_row_action write = mLate.front();
      mLate.pop_front();
      Write(write);
    }
  }

  void OtherOperatorWrites()
  {
    config_row row;
    if (mRevision > 0) {
      row = *DecodeConfigRow(mValue);
    }
    std::uint32_t queue = 1000 + static_cast<std::uint32_t>(mApplied.size());
    mObjects[HashOf(queue)] =
      RenderDocument(*ParseDocument(Text(queue)).mDocument);
    config_row next = row.Next(
      HashOf(queue), "other-" + std::to_string(mApplied.size()), "otto");
    CHECK(Write({ mRevision, EncodeConfigRow(next) }));
  }

  // Number of times that a change took effect.
  std::size_t Applied(const std::string& aChangeId) const
  {
    std::size_t count = 0;
    for (const config_version& version : mApplied) {
      count += version.mChangeId == aChangeId ? 1 : 0;
    }
    return count;
  }
};

// Performs one action of a submission against the model.
struct step
{
  submission& mSubmission;
  model_store& mStore;
  fault mFault;
  instant& mNow;

  submission_action operator()(const read_row_action&)
  {
    if (mFault != fault::None && mFault != fault::OtherWriteFirst) {
      return mSubmission.OnRow(std::nullopt, mNow);
    }
    return mSubmission.OnRow(row_snapshot{ mStore.mRevision, mStore.mValue },
                             mNow);
  }

  submission_action operator()(const put_object_action& aAction)
  {
    if (mFault != fault::Outage) {
      mStore.mObjects[aAction.mHash] = aAction.mText;
    }
    bool answered = mFault == fault::None || mFault == fault::OtherWriteFirst;
    return mSubmission.OnObjectStored(answered, mNow);
  }

  submission_action operator()(const get_object_action& aAction)
  {
    if (mFault != fault::None) {
      return mSubmission.OnObject(std::nullopt, mNow);
    }
    return mSubmission.OnObject(mStore.mObjects.at(aAction.mHash), mNow);
  }

  submission_action operator()(const write_row_action& aAction)
  {
    switch (mFault) {
      case fault::Outage:
        break;
      case fault::LostAnswerLateWrite:
        mStore.mLate.push_back(aAction);
        break;
      case fault::LostAnswer:
        mStore.Write(aAction);
        break;
      case fault::OtherWriteFirst:
        mStore.OtherOperatorWrites();
        [[fallthrough]];
      case fault::None:
        return mSubmission.OnWritten(mStore.Write(aAction)
                                       ? write_answer::Written
                                       : write_answer::Mismatch,
                                     mNow);
    }
    return mSubmission.OnWritten(write_answer::NoAnswer, mNow);
  }

  submission_action operator()(const wait_action& aAction)
  {
    mNow = std::max(mNow, aAction.mUntil);
    return mSubmission.OnTimer(mNow);
  }

  submission_action operator()(const submission_outcome& aOutcome)
  {
    return aOutcome;
  }
};

// Runs a submission. aFaults holds the fault of each action, not counting
// waits; aLast applies to all later actions.
submission_outcome
Run(submission_request aRequest,
    model_store& aStore,
    const std::vector<fault>& aFaults,
    fault aLast)
{
  instant now;
  submission one(std::move(aRequest), now);
  submission_action action = one.Start(now);
  std::size_t done = 0;
  while (!std::holds_alternative<submission_outcome>(action)) {
    fault currentFault = done < aFaults.size() ? aFaults[done] : aLast;
    bool isWait = std::holds_alternative<wait_action>(action);
    submission_action current = std::move(action);
    action = std::visit(step{ one, aStore, currentFault, now }, current);
    if (!isWait) {
      ++done;
      if (currentFault != fault::LostAnswerLateWrite) {
        aStore.ApplyLate();
      }
    }
    CHECK(done < 1000);
  }
  return std::get<submission_outcome>(action);
}

struct fault_row
{
  std::string_view mName;
  std::vector<fault> mFaults; // read row, put object, write row, read row ...
  fault mLast;
  submission_kind mKind;
  std::uint64_t mVersion;
  std::size_t mApplied; // number of times that the change took effect
};

const fault_row kRows[] = {
  { "no fault", {}, fault::None, submission_kind::Accepted, 2, 1 },
  { "row unreadable at first",
    { fault::Outage, fault::Outage },
    fault::None,
    submission_kind::Accepted,
    2,
    1 },
  { "row unreadable throughout",
    {},
    fault::Outage,
    submission_kind::Unavailable,
    0,
    0 },
  { "object store out throughout",
    { fault::None },
    fault::Outage,
    submission_kind::Unavailable,
    0,
    0 },
  { "object's answer lost once",
    { fault::None, fault::LostAnswer },
    fault::None,
    submission_kind::Accepted,
    2,
    1 },
  { "write applied, answer lost",
    { fault::None, fault::None, fault::LostAnswer },
    fault::None,
    submission_kind::Accepted,
    2,
    1 },
  { "write not applied, answer lost",
    { fault::None, fault::None, fault::Outage },
    fault::None,
    submission_kind::Accepted,
    2,
    1 },
  { "write applied after the row was read again",
    { fault::None, fault::None, fault::LostAnswerLateWrite },
    fault::None,
    submission_kind::Accepted,
    2,
    1 },
  { "write applied, then an outage",
    { fault::None, fault::None, fault::LostAnswer },
    fault::Outage,
    submission_kind::Unknown,
    0,
    1 },
  { "write not applied, then an outage",
    { fault::None, fault::None },
    fault::Outage,
    submission_kind::Unknown,
    0,
    0 },
  { "another operator first",
    { fault::None, fault::None, fault::OtherWriteFirst },
    fault::None,
    submission_kind::Conflict,
    2,
    0 },
  { "another operator first, winner's object unreadable",
    { fault::None, fault::None, fault::OtherWriteFirst, fault::None },
    fault::Outage,
    submission_kind::Conflict,
    2,
    0 },
  { "answer lost, then another operator",
    { fault::None,
      fault::None,
      fault::Outage,
      fault::None,
      fault::OtherWriteFirst },
    fault::None,
    submission_kind::Conflict,
    2,
    0 },
};

model_store
StoreWithOneVersion()
{
  model_store store;
  store.OtherOperatorWrites();
  return store;
}

} // namespace

TEST_GROUP(ConfigRow){};

TEST(ConfigRow, EncodesAndDecodes)
{
  config_row row;
  for (std::uint32_t i = 0; i < 30; ++i) {
    row = row.Next(HashOf(i), "change-" + std::to_string(i), "niamh");
    std::optional<config_row> decoded = DecodeConfigRow(EncodeConfigRow(row));
    CHECK(decoded.has_value());
    CHECK(*decoded == row);
  }
  CHECK_EQUAL(30u, row.mVersion);
  CHECK_EQUAL(kHistoryLength, row.mPrevious.size());
  CHECK_EQUAL(10u, row.Find("change-9")->mVersion);
  CHECK(row.Find("change-8") == nullptr);
  CHECK(row.ReachesBackTo(9));
  CHECK(!row.ReachesBackTo(8));
}

TEST(ConfigRow, MutationsAreRefusedOrRoundTrip)
{
  std::mt19937_64 random(5);
  config_row row;
  row = row.Next(HashOf(1), "a", "niamh").Next(HashOf(2), "b", "otto");
  const std::string good = EncodeConfigRow(row);
  for (int round = 0; round < 5000; ++round) {
    std::string text = good;
    std::size_t at = random() % text.size();
    switch (random() % 3) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, 1 + random() % 8);
        break;
      default:
        text.insert(at, text.substr(random() % text.size(), 5));
        break;
    }
    std::optional<config_row> decoded = DecodeConfigRow(text);
    CHECK(!decoded || EncodeConfigRow(*decoded) == text);
  }
}

TEST_GROUP(Submission){};

TEST(Submission, EachFaultHasItsOutcome)
{
  for (const fault_row& row : kRows) {
    model_store store = StoreWithOneVersion();
    submission_outcome outcome =
      Run(Request(7, "mine"), store, row.mFaults, row.mLast);
    std::string name(row.mName);
    CHECK_TEXT(row.mKind == outcome.mKind, name.c_str());
    LONGS_EQUAL_TEXT(row.mVersion, outcome.mVersion, name.c_str());
    LONGS_EQUAL_TEXT(row.mApplied, store.Applied("mine"), name.c_str());
  }
}

TEST(Submission, ConflictCarriesTheDifferenceFromTheWinner)
{
  model_store store = StoreWithOneVersion();
  submission_outcome outcome =
    Run(Request(7, "mine"),
        store,
        { fault::None, fault::None, fault::OtherWriteFirst },
        fault::None);
  CHECK(outcome.mChanges.has_value());
  CHECK_EQUAL(std::string("rank urgent: queue: 1001 -> 7\n"),
              RenderDifference(*outcome.mChanges));
}

TEST(Submission, AnOlderBaseIsAConflictBeforeAnyWrite)
{
  model_store store = StoreWithOneVersion();
  submission_request request = Request(7, "mine");
  request.mBase = 0;
  submission_outcome outcome = Run(request, store, {}, fault::None);
  CHECK(submission_kind::Conflict == outcome.mKind);
  CHECK_EQUAL(1u, store.mRevision);
}

TEST(Submission, TheSameChangeIdIsAppliedOnce)
{
  model_store store = StoreWithOneVersion();
  Run(Request(7, "mine"), store, {}, fault::None);
  store.OtherOperatorWrites();
  submission_outcome again = Run(Request(7, "mine"), store, {}, fault::None);
  CHECK(submission_kind::Accepted == again.mKind);
  CHECK_EQUAL(2u, again.mVersion);
  CHECK_EQUAL(1u, store.Applied("mine"));
  submission_outcome other = Run(Request(8, "mine"), store, {}, fault::None);
  CHECK(submission_kind::Refused == other.mKind);
}

TEST(Submission, TheDocumentInForceIsNotWrittenAgain)
{
  model_store store = StoreWithOneVersion();
  submission_outcome outcome =
    Run(Request(1000, "mine"), store, {}, fault::None);
  CHECK(submission_kind::Unchanged == outcome.mKind);
  CHECK_EQUAL(1u, outcome.mVersion);
  CHECK_EQUAL(1u, store.mRevision);
}

TEST(Submission, FaultsAreRefusedBeforeAnyAction)
{
  model_store store;
  submission_request request = Request(7, "mine");
  request.mText += "colour = red\n";
  submission_outcome outcome = Run(request, store, {}, fault::None);
  CHECK(submission_kind::Refused == outcome.mKind);
  CHECK_EQUAL(std::string("rank urgent.colour"), outcome.mFaults.at(0).mField);
  CHECK(store.mObjects.empty());
  submission_outcome badId =
    Run(Request(7, "has blank"), store, {}, fault::None);
  CHECK(submission_kind::Refused == badId.mKind);
}

TEST(Submission, AMalformedRowIsNotOverwritten)
{
  model_store store = StoreWithOneVersion();
  store.mValue = "version=1\n";
  submission_outcome outcome = Run(Request(7, "mine"), store, {}, fault::None);
  CHECK(submission_kind::Unavailable == outcome.mKind);
  CHECK_EQUAL(1u, store.mRevision);
}

// Three submitters, with a random fault for each action and late writes that
// take effect at any later time. Outcomes are checked against the store's list
// of applied writes.
TEST(Submission, RandomRunsApplyOnceAndReportCorrectOutcomes)
{
  std::mt19937_64 random(20261204);
  std::map<submission_kind, int> kinds;
  for (int run = 0; run < 2000; ++run) {
    model_store store;
    std::vector<submission> submitters;
    std::vector<submission_action> actions;
    std::vector<instant> clocks(3);
    std::vector<std::optional<std::size_t>> bases(3); // version at first read
    for (std::uint32_t i = 0; i < 3; ++i) {
      submission_request request =
        Request(i + 1, "change-" + std::to_string(i));
      request.mTimeout = milliseconds(1000 + random() % 5000);
      submitters.emplace_back(std::move(request), clocks[i]);
      actions.push_back(submitters.back().Start(clocks[i]));
    }
    std::uint64_t faultPercent = random() % 100;
    for (int steps = 0; steps < 300; ++steps) {
      std::size_t i = random() % 3;
      fault injected = random() % 100 < faultPercent
                         ? static_cast<fault>(1 + random() % 3)
                         : fault::None;
      submission_action current = std::move(actions[i]);
      if (std::holds_alternative<read_row_action>(current) &&
          injected == fault::None && !bases[i]) {
        bases[i] = store.mApplied.size();
      }
      actions[i] =
        std::visit(step{ submitters[i], store, injected, clocks[i] }, current);
      if (random() % 4 == 0) {
        store.ApplyLate();
      }
    }
    while (!store.mLate.empty()) {
      store.ApplyLate();
    }
    for (std::size_t i = 0; i < 3; ++i) {
      std::string id = "change-" + std::to_string(i);
      CHECK(store.Applied(id) <= 1);
      if (!std::holds_alternative<submission_outcome>(actions[i])) {
        continue;
      }
      const submission_outcome& outcome =
        std::get<submission_outcome>(actions[i]);
      ++kinds[outcome.mKind];
      switch (outcome.mKind) {
        case submission_kind::Accepted:
          CHECK_EQUAL(id, store.mApplied.at(outcome.mVersion - 1).mChangeId);
          CHECK_EQUAL(*bases[i] + 1, outcome.mVersion);
          break;
        case submission_kind::Unknown:
          break;
        case submission_kind::Unchanged:
        case submission_kind::Conflict:
        case submission_kind::Refused:
        case submission_kind::Unavailable:
          CHECK_EQUAL(0u, store.Applied(id));
          break;
      }
    }
  }
  CHECK(kinds[submission_kind::Accepted] > 100);
  CHECK(kinds[submission_kind::Conflict] > 100);
  CHECK(kinds[submission_kind::Unavailable] > 100);
  CHECK(kinds[submission_kind::Unknown] > 100);
}
