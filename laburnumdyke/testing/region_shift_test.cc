// The share of a region's served requests that goes to other regions when its
// own upstreams become full.
#include "laburnumdyke/decision/region_spillover.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(RegionShift){};

// SHIFT: in the first seconds of a burst, a region with few upstreams refused
// the requests beyond their capacity, so most of the requests that were served
// were served in other regions.
TEST(RegionShift, ARegionThatFillsUpDoesNotMoveWhatIsServedAtOnce)
{
  region_spillover_options options;
  options.mInitialShare = 0.4;
  region_spillover spill(options);
  double before = options.mInitialShare;
  instant now = instant() + 1h;
  for (int window = 0; window < 5; ++window) {
    bool isFull = window > 0;
    int local = 0;
    int remote = 0;
    for (int i = 0; i < 200; ++i) {
      now += options.mWindow / 200;
      // Full upstreams still admit a request for each one they complete.
      bool admits = !isFull || i % 5 == 0;
      spillover_decision decision = spill.Decide(isFull, admits, now);
      local += decision == spillover_decision::Local ? 1 : 0;
      remote += decision == spillover_decision::Remote ? 1 : 0;
    }
    double share = static_cast<double>(remote) / (local + remote);
    CHECK(share - before <= options.mMostShift);
    before = share;
  }
}
