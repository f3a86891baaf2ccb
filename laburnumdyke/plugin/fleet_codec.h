// Encodes and decodes, as protobuf, the messages between instances that route
// by host and path: heartbeats, the usage of customers, the demand for services
// and upstreams that may have started again.
//
// A compact heartbeat identifies its sender by an 8-byte key. A receiver that
// does not know that incarnation, from a full heartbeat or from its
// registration, can't resolve the key.
#pragma once

#include "laburnumdyke/decision/customer_usage.h"
#include "laburnumdyke/decision/fleet_view.h"
#include "laburnumdyke/decision/restart_suspicion.h"
#include "laburnumdyke/decision/service_demand.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kMaxFleetMessageBytes = 32UL * 1024; // bytes
// Customers in one message; more are active only where each is a small part.
inline constexpr std::size_t kMaxUsageEntries = 1000;

enum class fleet_heartbeat_form
{
  Full,    // with the sender's names and addresses
  Compact, // with the sender's key instead
};

std::string
EncodeFleetHeartbeat(const fleet_heartbeat& aHeartbeat,
                     fleet_heartbeat_form aForm);

// Services in one message, and regions in totals.
inline constexpr std::size_t kMaxDemandServices = 300;
inline constexpr std::size_t kMaxDemandRegions = 16;

// Whose usage or demand a message contains, and for whom it is.
enum class usage_scope
{
  Instance, // of one instance, for the collector of its failure domain
  Domain,   // of a failure domain, for the collectors of the others
  Fleet,    // for the members of the sender's failure domain
};

struct usage_message
{
  usage_scope mScope = usage_scope::Instance;
  std::string mName;     // of the instance or the failure domain
  bool mRelayed = false; // passed on by the instance that first received it
  usage_list mUsage;
};

// Encodes the kMaxUsageEntries customers with the highest demand.
std::string
EncodeUsage(const usage_message& aMessage);

struct demand_message
{
  usage_scope mScope = usage_scope::Instance;
  std::string mName;     // of the instance or the failure domain
  bool mRelayed = false; // passed on by the instance that first received it
  demand_totals mTotals; // of one region, except in the scope Fleet
};

// Encodes the kMaxDemandServices services with the highest demand.
std::string
EncodeDemand(const demand_message& aMessage);

// Upstreams in one message about restarts, so that names of up to 200 bytes
// fit.
inline constexpr std::size_t kMaxRestartReports = 150;

struct restart_message
{
  std::vector<restart_report> mReports;
  bool mRelayed = false; // passed on by the instance that first received it
};

// Encodes the first kMaxRestartReports.
std::string
EncodeRestarts(const restart_message& aMessage);

// monostate: aBytes is longer than kMaxFleetMessageBytes, malformed, or a
// heartbeat that does not identify its sender. In a compact heartbeat mSender
// is empty and mSenderKey is set.
using fleet_message = std::variant<std::monostate,
                                   fleet_heartbeat,
                                   usage_message,
                                   demand_message,
                                   restart_message>;

fleet_message
DecodeFleetMessage(std::string_view aBytes);

} // namespace laburnumdyke
