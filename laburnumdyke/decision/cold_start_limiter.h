// Bounds the rate at which all instances together send to a cold upstream.
//
// Load pattern: an upstream that has just started, or a failure domain that
// returns to service, with every instance sending to it. The bound applies to
// any second and to the sum over all instances. A few senders, which every
// instance derives alike from the upstream's name, send to it, each at most one
// request per kMinSendInterval, so the rate cannot exceed the number of senders
// per second.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <map>
#include <vector>

namespace laburnumdyke {

struct instance_location
{
  instance_id mInstance;
  region_id mRegion;
};

struct cold_start_limiter_options
{
  instance_id mSelf;
  double mOvershoot = 1.5; // factor on the upstream's cold rate
  double mSlack = 5;       // requests per second on top of that
};

class cold_start_limiter
{
public:
  // Between two requests of one sender; more than a second, because arrival
  // times jitter.
  static constexpr std::chrono::milliseconds kMinSendInterval{ 1250 };

  explicit cold_start_limiter(cold_start_limiter_options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  // Sets all instances, including this one. Empty: the fleet is unknown, and
  // this instance sends nothing to rate-limited cold upstreams.
  void SetFleet(std::vector<instance_location> aFleet);

  // Whether this instance may send to a cold upstream in aRegion now. aRate:
  // the upstream's cold rate in requests per second; zero: unlimited.
  bool MaySend(const upstream_id& aUpstream,
               const region_id& aRegion,
               double aRate,
               instant aNow) const;

  // Records that a request is sent to aUpstream.
  void RecordSend(const upstream_id& aUpstream, instant aNow);

private:
  bool IsSender(const upstream_id& aUpstream,
                const region_id& aRegion,
                std::size_t aSenders) const;

  cold_start_limiter_options mOptions;
  std::vector<instance_location> mFleet;
  std::map<upstream_id, instant> mLastSend;
};

} // namespace laburnumdyke
