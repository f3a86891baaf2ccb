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
// Every faulty setting is reported with its line, its key and what was
// expected, all at once. An unknown key or section is a fault.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/kernel/ini.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

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
