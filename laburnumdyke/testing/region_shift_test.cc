// The part of a region's served requests that leaves it, when the region's own
// upstreams fill up.
#include "laburnumdyke/decision/region_spill.h"

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

TEST_GROUP(RegionShift){};

// SHIFT: in the first seconds of a burst a region with few upstreams turned
// away what they could not take, and most of what was served was elsewhere.
TEST(RegionShift, ARegionThatFillsUpDoesNotMoveWhatIsServedAtOnce)
{
  region_spill_options options;
  options.mFirstShare = 0.4;
  region_spill spill(options);
  double before = options.mFirstShare;
  instant now = instant() + 1h;
  for (int window = 0; window < 5; ++window) {
    bool isFull = window > 0;
    int inside = 0;
    int outside = 0;
    for (int i = 0; i < 200; ++i) {
      now += options.mWindow / 200;
      // Full upstreams still take as many as they finish.
      bool admits = !isFull || i % 5 == 0;
      spill_side side = spill.Decide(isFull, admits, now);
      inside += side == spill_side::Inside ? 1 : 0;
      outside += side == spill_side::Outside ? 1 : 0;
    }
    double share = static_cast<double>(outside) / (inside + outside);
    CHECK(share - before <= options.mMostShift);
    before = share;
  }
}
