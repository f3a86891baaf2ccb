// Bounds what reaches a cold upstream from all instances together.
//
// Load pattern: an upstream that has just started, or a failure domain that
// comes back, with every instance sending to it. The bound holds over each
// second and the sum of instances. A few instances, chosen alike by everyone
// from the upstream's name, send to it, and each of them one request in a
// little over a second: the sum can't pass the number of senders.
#pragma once

#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <map>
#include <vector>

namespace laburnumdyke {

struct fleet_place
{
  instance_id mInstance;
  region_id mRegion;
};

struct cold_gate_options
{
  instance_id mSelf;
  double mOvershoot = 1.5; // of the upstream's own rate
  double mSlack = 5;       // requests in a second beside it
};

class cold_gate
{
public:
  // Between two requests of one sender; over a second, since arrivals jitter.
  static constexpr std::chrono::milliseconds kGap{ 1250 };

  explicit cold_gate(cold_gate_options aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  // Everyone, self included. Empty: the fleet is not known, and an upstream
  // that is cold gets nothing from this instance.
  void SetFleet(std::vector<fleet_place> aFleet);

  // Whether this instance may send to a cold upstream of aRegion now. aRate is
  // the upstream's own; zero: not limited.
  bool IsOpen(const upstream_id& aUpstream,
              const region_id& aRegion,
              double aRate,
              instant aNow) const;

  // A request is being sent there.
  void Count(const upstream_id& aUpstream, instant aNow);

private:
  bool IsSender(const upstream_id& aUpstream,
                const region_id& aRegion,
                std::size_t aSenders) const;

  cold_gate_options mOptions;
  std::vector<fleet_place> mFleet;
  std::map<upstream_id, instant> mLast;
};

} // namespace laburnumdyke
