// Settings of one daemon, read from an INI file.
//
//   [instance]
//   name = leinster-a-1
//   region = leinster
//   failure_domain = leinster-a
//   workers = 2
//   [listen]
//   caller = 127.0.0.1:7001
//   relay = 127.0.0.1:7002
//   peer = 127.0.0.1:7003
//   operator = 127.0.0.1:7004
//   [platform]
//   address = 127.0.0.1:7000
//   [peers]
//   seeds = 127.0.0.1:7013, 127.0.0.1:7023
//   platform_list = yes
//
// An instance that steers by host and path has "front = hosts" in [instance]
// and these besides; what is left out of [bounds] keeps its default:
//   [listen]
//   ready = 127.0.0.1:7005
//   directory = 127.0.0.1:7006
//   [domains]
//   leinster-a = leinster
//   [bounds]
//   most_shift = 0.15
//   cold_overshoot = 1.5
//   cold_slack = 5
//   repeat_ratio = 0.2
//   repeat_extra = 112
//   repeat_window = 10s
//   drain_timeout = 2s
//   grace = 6s
//   longest_answer_life = 5s
//
// Every faulty setting is reported with its line, its key and what was
// expected, all at once. An unknown key or section is a fault.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/kernel/ini.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// What callers speak to an instance.
enum class front_kind
{
  Own,   // look-ups and requests by service, documents of our own
  Hosts, // requests by host and path, configuration of the platform
};

// What binds an instance that steers by host and path. The durations and
// figures are agreed with the platform's users.
struct steering_bounds
{
  // Change of the part of a region's requests that leaves it, in two seconds.
  double mMostShift = 0.15;
  double mColdOvershoot = 1.5; // of a cold upstream's own rate
  double mColdSlack = 5;       // requests in a second beside it
  double mRepeatRatio = 0.2;   // repeats of the fleet for each request
  double mRepeatExtra = 100;   // repeats of the fleet in a window besides
  std::chrono::milliseconds mRepeatWindow{ 10000 };
  // From an upstream's word that it leaves until it must get nothing more.
  std::chrono::milliseconds mDrainTimeout{ 2000 };
  // From the signal to stop until the process is killed.
  std::chrono::milliseconds mGrace{ 6000 };
  std::chrono::milliseconds mLongestAnswerLife{ 5000 }; // of a look-up
};

struct settings
{
  std::string mInstance;
  std::string mRegion;
  std::string mFailureDomain;
  // Greater for each start of an instance; not read from the file.
  std::uint64_t mIncarnation = 0;
  std::size_t mWorkers = 2;
  endpoint mCaller;   // callers: look-ups and requests
  endpoint mRelay;    // requests relayed by other entry instances
  endpoint mPeer;     // heartbeats between instances
  endpoint mOperator; // status, counters, console
  front_kind mFront = front_kind::Own;
  endpoint mReady;     // readiness; with front = hosts
  endpoint mDirectory; // look-ups; with front = hosts
  // Counters, at a port that monitoring knows; port 0: there is none.
  endpoint mMetrics;
  // Regions by failure domain; with front = hosts.
  std::map<std::string, std::string> mDomains;
  steering_bounds mBounds;
  endpoint mPlatform; // table service and object store
  std::vector<endpoint> mSeeds;
  // Whether to send heartbeats to entry instances that the platform lists too.
  bool mUsePlatformList = true;
};

struct settings_result
{
  std::optional<settings> mSettings; // nothing where there are faults
  std::vector<text_fault> mFaults;
};

settings_result
ParseSettings(std::string_view aText);

// Lower-case letters, digits and hyphens, 1 to 48 bytes, starting with a
// letter: the form of every name in settings and documents.
bool
IsName(std::string_view aText);

} // namespace laburnumdyke
