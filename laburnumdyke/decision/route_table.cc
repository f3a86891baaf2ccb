// A host has few routes, so a linear scan from the longest prefix is faster
// than a trie and does not allocate.
#include "laburnumdyke/decision/route_table.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

std::string
NormalizeHost(std::string_view aHost)
{
  std::size_t colon = aHost.rfind(':');
  bool isIpv6 = !aHost.empty() && aHost.back() == ']';
  std::string host(isIpv6 ? aHost : aHost.substr(0, colon));
  for (char& c : host) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return host;
}

std::uint32_t
MaxWeight(const route_spec& aRoute)
{
  std::uint32_t weight = 0;
  for (const weighted_service& each : aRoute.mServices) {
    weight = std::max(weight, each.mWeight);
  }
  return weight;
}

// Whether aService is the only or heaviest one of the route.
bool
IsHeaviest(const route_spec& aRoute, const service_id& aService)
{
  std::uint32_t weight = MaxWeight(aRoute);
  return std::any_of(aRoute.mServices.begin(),
                     aRoute.mServices.end(),
                     [&](const weighted_service& aEach) {
                       return aEach.mService == aService &&
                              aEach.mWeight == weight;
                     });
}

} // namespace

std::uint32_t
PriorityOf(const route_spec& aRoute, const customer_spec* aCustomer)
{
  return aCustomer == nullptr ? aRoute.mPriority
                              : aCustomer->mPriority.value_or(aRoute.mPriority);
}

route_table::route_table(routing_document aDocument,
                         const route_table* aPrevious)
  : mDocument(std::move(aDocument))
{
  if (mDocument.mCustomers) {
    mCustomers = std::make_unique<const customer_table>(
      std::move(*mDocument.mCustomers),
      aPrevious == nullptr ? nullptr : aPrevious->Customers());
    mDocument.mCustomers.reset();
  }
  for (std::size_t i = 0; i < mDocument.mRoutes.size(); ++i) {
    const route_spec& route = mDocument.mRoutes[i];
    mByHost[NormalizeHost(route.mHost)].push_back(i);
    for (const weighted_service& each : route.mServices) {
      if (IsHeaviest(route, each.mService)) {
        mOwners.insert(each.mService);
      }
    }
  }
  for (std::pair<const std::string, std::vector<std::size_t>>& host : mByHost) {
    std::stable_sort(host.second.begin(),
                     host.second.end(),
                     [&](std::size_t aFirst, std::size_t aSecond) {
                       return mDocument.mRoutes[aFirst].mPrefix.size() >
                              mDocument.mRoutes[aSecond].mPrefix.size();
                     });
  }
}

const route_spec*
route_table::Find(std::string_view aHost, std::string_view aPath) const
{
  auto found = mByHost.find(NormalizeHost(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  std::string_view path = aPath.substr(0, aPath.find('?'));
  for (std::size_t i : found->second) {
    const route_spec& route = mDocument.mRoutes[i];
    if (path.substr(0, route.mPrefix.size()) == route.mPrefix) {
      return &route;
    }
  }
  return nullptr;
}

bool
route_table::IsOverflow(const route_spec& aRoute,
                        const service_id& aService) const
{
  return mOwners.count(aService) > 0 && !IsHeaviest(aRoute, aService);
}

service_rules
route_table::Rules(const service_id& aService) const
{
  auto found = mDocument.mServices.find(aService);
  return found == mDocument.mServices.end() ? service_rules() : found->second;
}

} // namespace laburnumdyke
