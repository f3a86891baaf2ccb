// Settings of one daemon, parsed from an INI file.
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
// An instance that routes by host and path has "front = hosts" in [instance]
// and the settings below too. Keys left out of [bounds] keep their defaults.
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
//   revoke_timeout = 5s
//   quota_overshoot = 0.1
//   quota_slack = 20
//   [steering]
//   learned_speed = reported
//   uneven_load = auto
//   [limits]
//   process_memory = 112000000
//   body_memory = 67108864
//   body_rate = 4096
//   body_grace = 15s
//   reader_rate = 16384
//   reader_grace = 1500ms
//
// All invalid settings are reported, each with its line, its key and what was
// expected. Unknown keys and sections are errors.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/kernel/ini.h"
#include "laburnumdyke/kernel/learned_speed.h"
#include "laburnumdyke/kernel/uneven_load.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// The protocol that callers use.
enum class front_kind
{
  Own,   // look-ups and requests by service; Laburnumdyke documents
  Hosts, // requests by host and path; configuration of the platform
};

// Limits of an instance that routes by host and path, as agreed with the
// platform's users.
struct steering_bounds
{
  // Largest change, within two seconds, of the fraction of a region's requests
  // that is served outside it.
  double mMostShift = 0.15;
  double mColdOvershoot = 1.5; // multiple of a cold upstream's own rate
  double mColdSlack = 5;       // requests per second in addition
  double mRepeatRatio = 0.2;   // the fleet's retries per request
  double mRepeatExtra = 100;   // additional retries of the fleet per window
  std::chrono::milliseconds mRepeatWindow{ 10000 };
  // Time after an upstream announces that it leaves, from which on it must
  // receive no more requests.
  std::chrono::milliseconds mDrainTimeout{ 2000 };
  // Time from the stop signal until the process is killed.
  std::chrono::milliseconds mGrace{ 6000 };
  std::chrono::milliseconds mMaxLookupTtl{ 5000 };
  // Time after the revocation of a key from which on no request with it may
  // run, even at an instance that cannot read the platform. Zero: keys are
  // accepted however old the configuration in force may be.
  std::chrono::milliseconds mRevokeTimeout{ 0 };
  // What the fleet may run in a window beyond a customer's rate and burst: a
  // fraction of both, and a number of requests.
  double mQuotaOvershoot = 0.1;
  double mQuotaSlack = 20;
};

// Limits on what clients may make an instance that routes by host and path
// hold in memory.
struct client_bounds
{
  // Bytes that the process may use; 0: the machine's memory.
  std::size_t mProcessMemory = 0;
  // Bytes of requests and buffered responses in all; 0: a fraction of the
  // memory that the process may use.
  std::size_t mBodyMemory = 0;
  // Bytes per second that a client must send of a body, and how far it may lag
  // behind.
  std::size_t mBodyRate = 4096;
  std::chrono::milliseconds mBodyGrace{ 15000 };
  // The same for a client that reads a response.
  std::size_t mReaderRate = 16384;
  std::chrono::milliseconds mReaderGrace{ 1500 };
};

struct settings
{
  std::string mInstance;
  std::string mRegion;
  std::string mFailureDomain;
  // Increases with each start of the instance; not read from the file.
  std::uint64_t mIncarnation = 0;
  std::size_t mWorkers = 2;
  endpoint mCaller;   // look-ups and requests of callers
  endpoint mRelay;    // requests relayed by other entry instances
  endpoint mPeer;     // heartbeats between instances
  endpoint mOperator; // status, counters, console
  front_kind mFront = front_kind::Own;
  endpoint mReady;     // readiness; with front = hosts
  endpoint mDirectory; // look-ups; with front = hosts
  // Additional address of /metrics for monitoring; none if the port is 0.
  endpoint mMetrics;
  // Region of each failure domain; with front = hosts.
  std::map<std::string, std::string> mDomains;
  steering_bounds mBounds;
  learned_speed mLearnedSpeed = learned_speed::Reported;
  uneven_load mUnevenLoad = uneven_load::Never;
  client_bounds mLimits; // with front = hosts
  endpoint mPlatform;    // table service and object store
  std::vector<endpoint> mSeeds;
  // Whether to send heartbeats also to the entry instances that the platform
  // lists, beside the seeds.
  bool mUsePlatformList = true;
};

struct settings_result
{
  std::optional<settings> mSettings; // nullopt if there are faults
  std::vector<text_fault> mFaults;
};

settings_result
ParseSettings(std::string_view aText);

// Returns true for a valid name in settings and documents: lower-case letters,
// digits and hyphens, 1 to 48 bytes, starting with a letter.
bool
IsName(std::string_view aText);

} // namespace laburnumdyke
