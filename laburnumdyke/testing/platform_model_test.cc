// The platform's stand-in as a model in virtual time: the lagging list, stale
// reads and revisions.
#include "laburnumdyke/testing/standin/platform_model.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(PlatformModel)
{
  instant mStart{ 1000s };
  platform_model mModel;
};

TEST(PlatformModel, ListIsShownAsItWasTheLagAgo)
{
  mModel.SetFaults({ .mListLag = 10s });
  mModel.PutInstance(mStart, { "a", "127.0.0.1:1", listed_state::Live });
  mModel.PutInstance(mStart + 1s,
                     { "a", "127.0.0.1:1", listed_state::Leaving });
  mModel.RemoveInstance(mStart + 2s, "a");
  UNSIGNED_LONGS_EQUAL(0, mModel.Instances(mStart + 9s).size());
  CHECK(mModel.Instances(mStart + 10s).at(0).mState == listed_state::Live);
  CHECK(mModel.Instances(mStart + 11s).at(0).mState == listed_state::Leaving);
  UNSIGNED_LONGS_EQUAL(0, mModel.Instances(mStart + 12s).size());
}

TEST(PlatformModel, StaleReadsDoNotWeakenWrites)
{
  row_key key{ "t", "k" };
  CHECK(mModel.Write(key, 0, "one").mWritten);
  mModel.SetFaults({ .mStaleReads = true });
  CHECK(mModel.Write(key, 1, "two").mWritten);
  CHECK(!mModel.Write(key, 1, "three").mWritten);
  UNSIGNED_LONGS_EQUAL(1, mModel.Read(key)->mRevision);
  mModel.SetFaults({});
  UNSIGNED_LONGS_EQUAL(2, mModel.Read(key)->mRevision);
}

// The oracle is a plain counter for each key.
TEST(PlatformModel, RandomWritesCountRevisions)
{
  for (std::uint32_t seed = 1; seed <= 20; seed++) {
    std::mt19937 generator(seed);
    platform_model model;
    std::uint64_t revisions[3] = {};
    for (int step = 0; step < 1000; step++) {
      std::size_t index = generator() % 3;
      std::uint64_t revision = generator() % 5 + revisions[index] / 2;
      row_key key{ "t", std::to_string(index) };
      write_result result = model.Write(key, revision, std::to_string(step));
      CHECK_EQUAL(revision == revisions[index], result.mWritten);
      revisions[index] += result.mWritten ? 1 : 0;
      UNSIGNED_LONGS_EQUAL(revisions[index], result.mRow.mRevision);
    }
  }
}
