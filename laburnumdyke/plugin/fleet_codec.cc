// A heartbeat that identifies its sender neither by name nor by key is
// rejected.
#include "laburnumdyke/plugin/fleet_codec.h"

#include "laburnumdyke/decision/rendezvous.h"
#include "laburnumdyke/plugin/member_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace laburnumdyke {

namespace {

// Rates are sent in hundredths of a request per second.
constexpr double kWireUnits = 100;
constexpr double kMaxWireRate = 4e9;
// Keeps conversions in range.
constexpr std::uint64_t kMaxPlatformTimeMs = 1000000000000000;

// Returns nullopt if the instance name is empty or an address is invalid.
std::optional<fleet_member>
DecodeMember(const proto::member& aSender)
{
  std::optional<endpoint> caller = ParseEndpoint(aSender.caller());
  std::optional<endpoint> relay = ParseEndpoint(aSender.relay());
  std::optional<endpoint> peer = ParseEndpoint(aSender.peer());
  if (aSender.instance().empty() || !caller || !relay || !peer) {
    return std::nullopt;
  }
  fleet_member member;
  member.mInstance = { aSender.instance() };
  member.mIncarnation = aSender.incarnation();
  member.mRegion = { aSender.region() };
  member.mDomain = { aSender.failure_domain() };
  member.mCaller = *caller;
  member.mPeer = *peer;
  member.mRelay = *relay;
  return member;
}

using usage_entry = std::pair<const customer_key, usage_rates>;

std::vector<usage_entry>
BusiestCustomers(const usage_list& aUsage)
{
  std::vector<std::pair<customer_key, usage_rates>> entries(aUsage.begin(),
                                                            aUsage.end());
  if (entries.size() > kMaxUsageEntries) {
    std::nth_element(entries.begin(),
                     entries.begin() + kMaxUsageEntries,
                     entries.end(),
                     [](const usage_entry& aOne, const usage_entry& aOther) {
                       return aOne.second.mDemand > aOther.second.mDemand;
                     });
    entries.resize(kMaxUsageEntries);
  }
  return { entries.begin(), entries.end() };
}

std::uint32_t
ToWire(double aRate)
{
  double scaled = std::clamp(aRate * kWireUnits, 0.0, kMaxWireRate);
  return static_cast<std::uint32_t>(std::lround(scaled));
}

// Returns monostate unless all lists have the same length.
fleet_message
DecodeUsage(const proto::customer_usage& aUsage)
{
  int count = aUsage.customers_size();
  bool isValid = count <= static_cast<int>(kMaxUsageEntries) &&
                 aUsage.demand_size() == count &&
                 aUsage.admitted_size() == count &&
                 aUsage.silent_size() == count &&
                 proto::customer_usage::scope_IsValid(aUsage.scope_of());
  if (!isValid) {
    return {};
  }
  usage_message message;
  message.mScope = static_cast<usage_scope>(aUsage.scope_of());
  message.mName = aUsage.name();
  message.mRelayed = aUsage.relayed();
  for (int i = 0; i < count; ++i) {
    message.mUsage[aUsage.customers(i)] = { aUsage.demand(i) / kWireUnits,
                                            aUsage.admitted(i) / kWireUnits,
                                            aUsage.silent(i) / kWireUnits };
  }
  return message;
}

} // namespace

std::string
EncodeFleetHeartbeat(const fleet_heartbeat& aHeartbeat,
                     fleet_heartbeat_form aForm)
{
  proto::fleet_heartbeat message;
  if (aForm == fleet_heartbeat_form::Full) {
    WriteMember(aHeartbeat.mSender, *message.mutable_sender());
  } else {
    message.set_sender_key(
      KeyOf(aHeartbeat.mSender.mInstance, aHeartbeat.mSender.mIncarnation));
  }
  message.set_serving(aHeartbeat.mServing);
  message.set_leaving(aHeartbeat.mLeaving);
  message.set_control_version(aHeartbeat.mControlVersion.mVersion);
  message.set_store_era(aHeartbeat.mControlVersion.mEra);
  message.set_document_version(aHeartbeat.mDocumentVersion);
  message.set_settled(aHeartbeat.mSettled);
  if (aHeartbeat.mCurrentAsOf) {
    message.set_current_as_of_ms(
      static_cast<std::uint64_t>(aHeartbeat.mCurrentAsOf->count()));
  }
  return message.SerializeAsString();
}

std::string
EncodeUsage(const usage_message& aMessage)
{
  proto::fleet_heartbeat message;
  proto::customer_usage& usage = *message.mutable_usage();
  usage.set_scope_of(
    static_cast<proto::customer_usage::scope>(aMessage.mScope));
  usage.set_name(aMessage.mName);
  usage.set_relayed(aMessage.mRelayed);
  for (const usage_entry& entry : BusiestCustomers(aMessage.mUsage)) {
    usage.add_customers(entry.first);
    usage.add_demand(ToWire(entry.second.mDemand));
    usage.add_admitted(ToWire(entry.second.mAdmitted));
    usage.add_silent(ToWire(entry.second.mSilent));
  }
  return message.SerializeAsString();
}

fleet_message
DecodeFleetMessage(std::string_view aBytes)
{
  proto::fleet_heartbeat message;
  bool parsed =
    aBytes.size() <= kMaxFleetMessageBytes &&
    message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  if (!parsed) {
    return {};
  }
  if (message.has_usage()) {
    return DecodeUsage(message.usage());
  }
  fleet_heartbeat heartbeat;
  if (message.has_sender()) {
    std::optional<fleet_member> sender = DecodeMember(message.sender());
    if (!sender) {
      return {};
    }
    heartbeat.mSender = std::move(*sender);
  } else if (message.sender_key() == 0) {
    return {};
  }
  heartbeat.mSenderKey = message.sender_key();
  heartbeat.mServing = message.serving();
  heartbeat.mLeaving = message.leaving();
  heartbeat.mControlVersion = { message.store_era(),
                                message.control_version() };
  heartbeat.mDocumentVersion = message.document_version();
  heartbeat.mSettled = message.settled();
  if (message.current_as_of_ms() > 0 &&
      message.current_as_of_ms() <= kMaxPlatformTimeMs) {
    heartbeat.mCurrentAsOf = platform_time(message.current_as_of_ms());
  }
  return heartbeat;
}

} // namespace laburnumdyke
