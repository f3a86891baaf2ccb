// What the platform's instance list changes, and for how long.
#include "laburnumdyke/decision/instance_list.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr instant kStart{ std::chrono::hours(1) };
const endpoint kUpstream{ "127.0.0.1", 9001 };
const endpoint kOther{ "127.0.0.1", 9002 };

} // namespace

TEST_GROUP(InstanceList)
{
  instance_list mList;
};

TEST(InstanceList, AnUpstreamLeavesWhileItIsListedAsLeaving)
{
  CHECK(!mList.IsLeaving(kUpstream, kStart));
  CHECK(mList.UpdateLeaving({ { "sheet-1", kUpstream, true } }, kStart));
  CHECK(mList.IsLeaving(kUpstream, kStart));
  CHECK(!mList.IsLeaving(kOther, kStart));
  CHECK(!mList.UpdateLeaving({ { "sheet-1", kUpstream, true } }, kStart));
  CHECK(mList.UpdateLeaving({ { "sheet-1", kUpstream, false } }, kStart));
  CHECK(!mList.IsLeaving(kUpstream, kStart));
}

TEST(InstanceList, LeavingEntriesExpireWithoutNewLists)
{
  mList.UpdateLeaving({ { "sheet-1", kUpstream, true } }, kStart);
  instant last = kStart + instance_list::kMaxAge;
  CHECK(mList.IsLeaving(kUpstream, last - std::chrono::milliseconds(1)));
  CHECK(!mList.IsLeaving(kUpstream, last));
}

TEST(InstanceList, OnlyLiveEntryInstancesAreHints)
{
  std::vector<endpoint> hints =
    EntryAddresses({ { "entry.leinster-a-1", kUpstream, false },
                     { "entry.leinster-a-2", kOther, true },
                     { "entry", kOther, false },
                     { "sheet-1", kOther, false } });
  LONGS_EQUAL(1, hints.size());
  CHECK(hints.front() == kUpstream);
}
