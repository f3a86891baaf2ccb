// Matches requests to routes by host and path.
//
// Usage:
//   route_table table(std::move(document));
//   const route_spec* route = table.Find("sheets.example", "/list/7");
//
// Among the routes of a host, the longest matching path prefix wins. A table is
// immutable; each new version of the configuration gets a new table.
#pragma once

#include "laburnumdyke/decision/customer_table.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

struct weighted_service
{
  service_id mService;
  std::uint32_t mWeight = 1;
};

struct route_spec
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  // Requests may be executed more than once.
  bool mIdempotent = false;
  // Latency objective: responses within this time are worth most to the caller.
  std::chrono::milliseconds mObjective{ 1000 };
  std::uint32_t mPriority = 0; // 0 is the most urgent
  bool mAffinity = false; // upstreams are faster on objects they have cached
  std::vector<weighted_service> mServices;
  std::chrono::milliseconds mTimeout{ 10000 };
  std::uint32_t mMaxAttempts = 1; // attempts that may execute a request
  std::vector<region_id> mHomes;  // regions that may serve it; empty: all
  bool mPublic = false; // requests need no key, even if there are customers
};

// The customer's priority, or else the route's; 0 is the most urgent.
// aCustomer: null if none is known.
std::uint32_t
PriorityOf(const route_spec& aRoute, const customer_spec* aCustomer);

struct service_rules
{
  std::chrono::milliseconds mColdTime{ 0 };
  double mColdRate = 0; // requests per second while cold; 0: unlimited
};

// Limits on the size and time of callers' requests.
struct caller_limits
{
  std::uint32_t mHeaderBytes = 16 * 1024;
  std::uint64_t mBodyBytes = 64ULL * 1024 * 1024;
  std::chrono::milliseconds mHeaderTimeout{ 10000 };
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

struct routing_document
{
  std::uint64_t mVersion = 0;
  caller_limits mLimits;
  std::vector<route_spec> mRoutes;
  std::map<service_id, service_rules> mServices;
  // Without a list of customers, requests need no key on any route.
  std::optional<std::vector<customer_spec>> mCustomers;
};

class route_table
{
public:
  // aPrevious, which may be null, is the table that this one replaces.
  explicit route_table(routing_document aDocument,
                       const route_table* aPrevious = nullptr);

  std::uint64_t Version() const { return mDocument.mVersion; }
  const caller_limits& Limits() const { return mDocument.mLimits; }
  std::size_t Size() const { return mDocument.mRoutes.size(); }

  // aHost may include a port and is case-insensitive; aPath may include a
  // query. Returns null if no route matches.
  const route_spec* Find(std::string_view aHost, std::string_view aPath) const;

  // Null if requests need no key.
  const customer_table* Customers() const { return mCustomers.get(); }

  // Whether requests of aRoute reach aService as overflow: other services of
  // the route have a greater weight, and aService has routes of its own, of
  // which it is the only or heaviest service.
  bool IsOverflow(const route_spec& aRoute, const service_id& aService) const;

  // Returns the defaults for a service that is not declared.
  service_rules Rules(const service_id& aService) const;

private:
  routing_document mDocument; // without its customers
  std::unique_ptr<const customer_table> mCustomers;
  std::set<service_id> mOwners; // services with routes of their own
  // By host, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> mByHost;
};

} // namespace laburnumdyke
