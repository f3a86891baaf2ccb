// Which requests go first when a service has too little capacity for all.
//
// Load pattern: many instances, each with a few requests per second for a
// service, that exchange nothing for this. An instance measures its own demand
// by class and by customer, what of it was served, and what was refused. While
// the service refuses requests, those of less urgent classes may fill an
// upstream only up to a limit (trunk reservation), so that room is left for the
// more urgent ones. All instances see the same upstreams through load reports,
// so the limits add up over the fleet. Where an instance sends an upstream so
// little that its reports are stale, the limit means little. Therefore only as
// many of the less urgent requests are admitted as what is served here leaves
// beyond the more urgent demand; the others may use slots for which no more
// urgent demand is expected.
//
// A request's class is overflow or not (see route_table::IsOverflow), and then
// its priority. Within a class, a customer that has been served more than its
// max-min share gives way to the others. Classes, routes and customers that are
// served much less often than all requests go first until they are not.
//
// Usage:
//   contention service;                       // one for each service
//   contention_room room = service.Room(request, now);
//   ... admit it to an upstream with at most slots * room.mSlots requests ...
//   service.Record(request, outcome, now);
//
// Room() has no effect. Memory is bounded. Beyond kMaxClasses, requests count
// for the least urgent known class. Beyond kMaxRoutes, routes are not measured
// and never go first for being served too rarely. Beyond kMaxCustomers, the
// customer with the lowest demand is dropped.
#pragma once

#include "laburnumdyke/decision/rate_meter.h"
#include "laburnumdyke/decision/types.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumdyke {

// The most urgent class is the least.
struct contention_class
{
  bool mIsOverflow = false;
  std::uint32_t mPriority = 0;
  std::strong_ordering operator<=>(const contention_class&) const = default;
};

struct contending_request
{
  contention_class mClass;
  std::string_view mRoute;
  std::string_view mCustomer; // empty: none
};

// What more urgent requests leave to a request.
struct contention_room
{
  static constexpr double kEverything = std::numeric_limits<double>::infinity();

  // How many requests may be at an upstream, with this one, per slot.
  double mSlots = kEverything;
  bool mIsContended = false;
  // Requests of the service for each one served; 1 without contention.
  double mExcess = 1;

  bool IsLimited() const { return mSlots != kEverything; }
};

enum class contention_outcome
{
  Served,  // an upstream was chosen
  Yielded, // refused for others; there was room
  Full,    // refused for any other reason; counts as a lack of capacity
};

enum class contention_change
{
  Begun,
  Ceased,
};

class contention
{
public:
  static constexpr std::size_t kMaxClasses = 16;
  static constexpr std::size_t kMaxRoutes = 64;
  static constexpr std::size_t kMaxCustomers = 256;

  // Whether the service has refused requests lately.
  bool IsContended(instant aNow) const;

  contention_room Room(const contending_request& aRequest, instant aNow) const;

  // Records the first attempt of a request. Returns whether contention has
  // begun or ceased.
  std::optional<contention_change> Record(const contending_request& aRequest,
                                          contention_outcome aOutcome,
                                          instant aNow);

  // Records that an upstream refused a request because its queue was full. It
  // counts for the begin and end of contention, and no longer as served in the
  // capacity (mAll). The meters of its class, route and customer, and the slow
  // one of all requests, keep it as served.
  void RecordShed(instant aNow)
  {
    mFull.Add(aNow);
    mAll.mServed.Add(aNow, -1); // was recorded as served
  }

  std::size_t CustomerCount() const { return mCustomerCount; }

private:
  // Time constant of demand; some seconds of an instance's few requests.
  static constexpr std::chrono::seconds kDemandTime{ 4 };
  // Customers and routes send each instance a fraction of a request a second.
  static constexpr std::chrono::seconds kShareTime{ 10 };

  struct share_meter
  {
    explicit share_meter(std::chrono::milliseconds aTime)
      : mDemand(aTime)
      , mServed(aTime)
    {
    }

    void Record(bool aWasServed, instant aNow)
    {
      mDemand.Add(aNow);
      mServed.Add(aNow, aWasServed ? 1 : 0);
    }

    rate_meter mDemand;
    rate_meter mServed;
  };

  using share_map = std::map<std::string, share_meter, std::less<>>;

  struct class_state
  {
    share_meter mShare{ kDemandTime };
    share_meter mSlowShare{ kShareTime };
    share_map mCustomers;
    // What a customer gets by max-min fairness at most, per second.
    double mLevel = std::numeric_limits<double>::infinity();
    instant mLevelComputed{};
    std::uint32_t mRequests = 0; // wraps around
  };

  double Excess(instant aNow) const;
  contention_class Bounded(const contention_class& aClass) const;
  bool IsStarved(const share_meter& aShare, instant aNow) const;
  bool IsStarved(const contending_request& aRequest,
                 const class_state& aClass,
                 instant aNow) const;
  double MoreUrgentDemand(const contention_class& aClass, instant aNow) const;
  // The demand of a class without that of a customer.
  static double PeerDemand(const class_state& aClass,
                           std::string_view aCustomer,
                           instant aNow);
  // How far a customer is beyond its share, from 0 to 1.
  static double Overuse(const class_state& aClass,
                        std::string_view aCustomer,
                        instant aNow);
  // The part of the requests, 0 to 1, for which the service has capacity beyond
  // the more urgent ones.
  double AdmittedPart(const class_state& aClass,
                      std::string_view aCustomer,
                      double aUrgent,
                      double aOveruse,
                      instant aNow) const;
  void RecordCustomer(class_state& aClass,
                      std::string_view aCustomer,
                      bool aWasServed,
                      instant aNow);
  void DropIdlestCustomer(instant aNow);
  std::optional<contention_change> Update(instant aNow);

  share_meter mAll{ kDemandTime };
  share_meter mSlowAll{ kShareTime };
  rate_meter mFull{ kDemandTime }; // refusals
  std::map<contention_class, class_state> mClasses;
  share_map mRoutes;
  std::size_t mCustomerCount = 0; // in all classes
  bool mIsContended = false;
  instant mRefusesSince{}; // unless it refuses few
  instant mChanged{};
};

} // namespace laburnumdyke
