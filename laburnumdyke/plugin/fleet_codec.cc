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

// The services with the highest demand of all regions.
std::vector<service_key>
BusiestServices(const demand_totals& aTotals)
{
  demand_list sums;
  for (const demand_totals::value_type& region : aTotals) {
    for (const demand_list::value_type& each : region.second.mDemand) {
      sums[each.first] += each.second;
    }
  }
  std::vector<service_key> services;
  for (const demand_list::value_type& each : sums) {
    services.push_back(each.first);
  }
  if (services.size() > kMaxDemandServices) {
    std::nth_element(services.begin(),
                     services.begin() + kMaxDemandServices,
                     services.end(),
                     [&](service_key aOne, service_key aOther) {
                       return sums.at(aOne) > sums.at(aOther);
                     });
    services.resize(kMaxDemandServices);
  }
  return services;
}

// Returns monostate unless each region has a rate for each service.
fleet_message
DecodeDemand(const proto::service_demand& aDemand)
{
  int count = aDemand.services_size();
  bool isFleet = aDemand.scope_of() == proto::customer_usage::FLEET;
  int maxRegions = isFleet ? static_cast<int>(kMaxDemandRegions) : 1;
  bool isValid = count <= static_cast<int>(kMaxDemandServices) &&
                 aDemand.regions_size() <= maxRegions &&
                 proto::customer_usage::scope_IsValid(aDemand.scope_of());
  if (!isValid) {
    return {};
  }
  demand_message message;
  message.mScope = static_cast<usage_scope>(aDemand.scope_of());
  message.mName = aDemand.name();
  message.mRelayed = aDemand.relayed();
  for (const proto::region_demand& region : aDemand.regions()) {
    if (region.demand_size() != count) {
      return {};
    }
    demand_report& report = message.mTotals[{ region.region() }];
    report.mReporters = region.reporters();
    for (int i = 0; i < count; ++i) {
      if (region.demand(i) > 0) {
        report.mDemand[aDemand.services(i)] = region.demand(i) / kWireUnits;
      }
    }
  }
  return message;
}

// Returns monostate unless both lists have the same length.
fleet_message
DecodeRestarts(const proto::restart_notice& aNotice)
{
  int count = aNotice.upstreams_size();
  bool isValid = count <= static_cast<int>(kMaxRestartReports) &&
                 aNotice.born_ms_size() == count;
  if (!isValid) {
    return {};
  }
  restart_message message;
  message.mRelayed = aNotice.relayed();
  for (int i = 0; i < count; ++i) {
    if (aNotice.born_ms(i) > kMaxPlatformTimeMs) {
      return {};
    }
    message.mReports.push_back(
      { { aNotice.upstreams(i) },
        std::chrono::milliseconds(aNotice.born_ms(i)) });
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

std::string
EncodeDemand(const demand_message& aMessage)
{
  proto::fleet_heartbeat message;
  proto::service_demand& demand = *message.mutable_demand();
  demand.set_scope_of(
    static_cast<proto::customer_usage::scope>(aMessage.mScope));
  demand.set_name(aMessage.mName);
  demand.set_relayed(aMessage.mRelayed);
  std::vector<service_key> services = BusiestServices(aMessage.mTotals);
  for (service_key service : services) {
    demand.add_services(service);
  }
  for (const demand_totals::value_type& each : aMessage.mTotals) {
    proto::region_demand& region = *demand.add_regions();
    region.set_region(each.first.mValue);
    region.set_reporters(each.second.mReporters);
    for (service_key service : services) {
      auto found = each.second.mDemand.find(service);
      region.add_demand(
        found == each.second.mDemand.end() ? 0 : ToWire(found->second));
    }
  }
  return message.SerializeAsString();
}

std::string
EncodeRestarts(const restart_message& aMessage)
{
  proto::fleet_heartbeat message;
  proto::restart_notice& notice = *message.mutable_restarts();
  notice.set_relayed(aMessage.mRelayed);
  std::size_t count = std::min(aMessage.mReports.size(), kMaxRestartReports);
  for (std::size_t i = 0; i < count; ++i) {
    const restart_report& report = aMessage.mReports[i];
    notice.add_upstreams(report.mId.mValue);
    notice.add_born_ms(static_cast<std::uint64_t>(report.mBorn.count()));
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
  if (message.has_demand()) {
    return DecodeDemand(message.demand());
  }
  if (message.has_restarts()) {
    return DecodeRestarts(message.restarts());
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
