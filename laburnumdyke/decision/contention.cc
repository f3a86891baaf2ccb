// The limit of a request follows the demand of all that goes before it,
// relative to what this instance gets served of the service. A request with
// nothing before it may fill the queue; one whose predecessors take all
// capacity gets a part of the slots, if they are free at the moment. Demand is
// compared with what is served here instead of with slots: an instance doesn't
// know which part of an upstream the others use.
#include "laburnumdyke/decision/contention.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace laburnumdyke {

namespace {

// Parts of the requests that find no room with which contention begins and
// ceases. Those that yielded don't count: they would keep it up by themselves.
constexpr double kBeginRefused = 0.1;
constexpr double kCeaseRefused = 0.03;
// A single refusal is no evidence.
constexpr double kMinRefusals = 1.2; // requests in kDemandTime
// Minimum time between two changes of the state.
constexpr std::chrono::seconds kMinStay{ 2 };
// Refusals that end sooner are those of upstreams that warm their caches.
constexpr std::chrono::seconds kBeginAfter{ 2 };
// Without requests, nothing is known about contention.
constexpr double kMinRequests = 0.5; // in kDemandTime

// A class, route or customer goes first while the served part of its requests
// is below kFloor times the served part of all. Greater than the guaranteed
// 0.25, because the rates are measured on few requests.
constexpr double kFloor = 0.35;
// Requests by which a customer or route is judged.
constexpr double kMinSample = 3; // requests in kShareTime

// Requests that may wait, per slot, if nothing goes before.
constexpr double kMostWaiting = 2;
// Part of the slots that is kept free for demand as large as the capacity. Less
// than 1, since some of that demand is already at the upstream.
constexpr double kReserved = 0.4;
constexpr double kMostReserved = 0.7;

// Requests admitted for each one served, so that more are when there is room.
constexpr double kProbe = 1.25;
// The limit has its full effect where at least 1 / kSteepness of a class can't
// be admitted, and none where all can.
constexpr double kSteepness = 4;
// Requests beyond the part admitted may use this many times the slots that more
// urgent demand leaves, since a part of that demand is already there.
constexpr double kLeftOver = 2;

constexpr double kTiny = 1e-9; // to divide by

constexpr std::chrono::milliseconds kLevelInterval{ 250 };
// Standard deviations by which few requests may exceed a customer's share.
constexpr double kNoise = 1;

// Expected events in aTime at the meter's rate.
double
Sample(const rate_meter& aMeter, std::chrono::seconds aTime, instant aNow)
{
  return aMeter.At(aNow) * std::chrono::duration<double>(aTime).count();
}

// The limit for a request before which come others with aUrgent times the
// capacity.
double
Limit(double aUrgent)
{
  if (aUrgent <= 0) {
    return contention_room::kEverything;
  }
  double left = std::max(0.0, 1 - aUrgent);
  return 1 + kMostWaiting * left * left -
         std::min(kMostReserved, kReserved * aUrgent);
}

// Whether the request with aNumber is among aPart of all requests, which are
// spread evenly: multiples of the golden ratio divide the circle evenly.
bool
IsTurn(std::uint32_t aNumber, double aPart)
{
  constexpr double kGoldenRatio = 0.6180339887498949;
  return std::fmod(aNumber * kGoldenRatio, 1.0) < aPart;
}

// The level at which the demands, each cut off there, add up to aCapacity;
// infinite if all fit.
double
MaxMinLevel(std::vector<double> aDemands, double aCapacity)
{
  std::sort(aDemands.begin(), aDemands.end());
  double left = std::max(0.0, aCapacity);
  std::size_t count = aDemands.size();
  for (double demand : aDemands) {
    double even = left / static_cast<double>(count);
    if (demand > even) {
      return even;
    }
    left -= demand;
    --count;
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace

bool
contention::IsContended(instant aNow) const
{
  return mIsContended &&
         Sample(mAll.mDemand, kDemandTime, aNow) >= kMinRequests;
}

double
contention::Excess(instant aNow) const
{
  double served = mAll.mServed.At(aNow);
  return served <= 0 ? 1 : std::max(1.0, mAll.mDemand.At(aNow) / served);
}

contention_class
contention::Bounded(const contention_class& aClass) const
{
  bool isKnown = mClasses.count(aClass) > 0;
  return isKnown || mClasses.size() < kMaxClasses ? aClass
                                                  : mClasses.rbegin()->first;
}

bool
contention::IsStarved(const share_meter& aShare, instant aNow) const
{
  if (Sample(aShare.mDemand, kShareTime, aNow) < kMinSample) {
    return false;
  }
  double all = mSlowAll.mServed.At(aNow) / mSlowAll.mDemand.At(aNow);
  return aShare.mServed.At(aNow) < kFloor * all * aShare.mDemand.At(aNow);
}

bool
contention::IsStarved(const contending_request& aRequest,
                      const class_state& aClass,
                      instant aNow) const
{
  auto route = mRoutes.find(aRequest.mRoute);
  auto customer = aClass.mCustomers.find(aRequest.mCustomer);
  return IsStarved(aClass.mSlowShare, aNow) ||
         (route != mRoutes.end() && IsStarved(route->second, aNow)) ||
         (customer != aClass.mCustomers.end() &&
          IsStarved(customer->second, aNow));
}

double
contention::MoreUrgentDemand(const contention_class& aClass, instant aNow) const
{
  double demand = 0;
  for (const std::pair<const contention_class, class_state>& each : mClasses) {
    demand += each.first < aClass ? each.second.mShare.mDemand.At(aNow) : 0;
  }
  return demand;
}

double
contention::PeerDemand(const class_state& aClass,
                       std::string_view aCustomer,
                       instant aNow)
{
  auto found = aClass.mCustomers.find(aCustomer);
  double own =
    found == aClass.mCustomers.end() ? 0 : found->second.mDemand.At(aNow);
  return std::max(0.0, aClass.mSlowShare.mDemand.At(aNow) - own);
}

double
contention::Overuse(const class_state& aClass,
                    std::string_view aCustomer,
                    instant aNow)
{
  auto found = aClass.mCustomers.find(aCustomer);
  if (found == aClass.mCustomers.end() || std::isinf(aClass.mLevel)) {
    return 0;
  }
  double seconds = std::chrono::duration<double>(kShareTime).count();
  double share = aClass.mLevel * seconds;
  double allowed = share + kNoise * std::sqrt(share);
  double requests = Sample(found->second.mDemand, kShareTime, aNow);
  return std::clamp((requests - allowed) / allowed, 0.0, 1.0);
}

double
contention::AdmittedPart(const class_state& aClass,
                         std::string_view aCustomer,
                         double aUrgent,
                         double aOveruse,
                         instant aNow) const
{
  double served = mAll.mServed.At(aNow);
  double least =
    std::min(1.0, kFloor * served / std::max(mAll.mDemand.At(aNow), kTiny));
  double demand = std::max(aClass.mShare.mDemand.At(aNow), kTiny);
  double part = std::clamp((served * kProbe - aUrgent) / demand, least, 1.0);
  auto found = aClass.mCustomers.find(aCustomer);
  if (aOveruse <= 0 || found == aClass.mCustomers.end()) {
    return part;
  }
  double asked = std::max(found->second.mDemand.At(aNow), kTiny);
  return std::clamp(aClass.mLevel * kProbe / asked, least, part);
}

contention_room
contention::Room(const contending_request& aRequest, instant aNow) const
{
  contention_room room;
  if (!IsContended(aNow)) {
    return room;
  }
  room.mIsContended = true;
  room.mExcess = Excess(aNow);
  contention_class key = Bounded(aRequest.mClass);
  auto found = mClasses.find(key);
  if (found == mClasses.end() || IsStarved(aRequest, found->second, aNow)) {
    return room;
  }
  const class_state& own = found->second;
  double capacity = std::max(mAll.mServed.At(aNow), kTiny);
  double urgent = MoreUrgentDemand(key, aNow);
  double overuse = Overuse(own, aRequest.mCustomer, aNow);
  double peers = overuse > 0 ? PeerDemand(own, aRequest.mCustomer, aNow) : 0;
  double before = (urgent + peers * overuse) / capacity;
  double part = AdmittedPart(own, aRequest.mCustomer, urgent, overuse, aNow);
  double weight = std::min(1.0, kSteepness * (1 - part));
  room.mSlots = IsTurn(own.mRequests, part)
                  ? Limit(before * weight)
                  : std::clamp(kLeftOver * (1 - before), 0.0, 1.0);
  return room;
}

void
contention::DropIdlestCustomer(instant aNow)
{
  share_map* idlest = nullptr;
  share_map::iterator customer;
  double least = std::numeric_limits<double>::infinity();
  for (std::pair<const contention_class, class_state>& each : mClasses) {
    share_map& customers = each.second.mCustomers;
    for (auto one = customers.begin(); one != customers.end(); ++one) {
      double demand = one->second.mDemand.At(aNow);
      if (demand < least) {
        least = demand;
        idlest = &customers;
        customer = one;
      }
    }
  }
  if (idlest != nullptr) {
    idlest->erase(customer);
    --mCustomerCount;
  }
}

void
contention::RecordCustomer(class_state& aClass,
                           std::string_view aCustomer,
                           bool aWasServed,
                           instant aNow)
{
  auto found = aClass.mCustomers.find(aCustomer);
  if (found == aClass.mCustomers.end()) {
    if (mCustomerCount >= kMaxCustomers) {
      DropIdlestCustomer(aNow);
    }
    found =
      aClass.mCustomers.emplace(std::string(aCustomer), share_meter(kShareTime))
        .first;
    ++mCustomerCount;
  }
  found->second.Record(aWasServed, aNow);
  if (aNow - aClass.mLevelComputed < kLevelInterval) {
    return;
  }
  aClass.mLevelComputed = aNow;
  std::vector<double> demands;
  double served = 0;
  for (const std::pair<const std::string, share_meter>& each :
       aClass.mCustomers) {
    demands.push_back(each.second.mDemand.At(aNow));
    served += each.second.mServed.At(aNow);
  }
  aClass.mLevel = MaxMinLevel(std::move(demands), served);
}

std::optional<contention_change>
contention::Update(instant aNow)
{
  double refused = mFull.At(aNow) / mAll.mDemand.At(aNow);
  bool refuses = refused >= kBeginRefused &&
                 Sample(mFull, kDemandTime, aNow) >= kMinRefusals;
  if (!refuses) {
    mRefusesSince = aNow;
  }
  bool isContended = mIsContended ? refused >= kCeaseRefused
                                  : aNow - mRefusesSince >= kBeginAfter;
  if (isContended == mIsContended || aNow - mChanged < kMinStay) {
    return std::nullopt;
  }
  mIsContended = isContended;
  mChanged = aNow;
  return isContended ? contention_change::Begun : contention_change::Ceased;
}

std::optional<contention_change>
contention::Record(const contending_request& aRequest,
                   contention_outcome aOutcome,
                   instant aNow)
{
  bool wasServed = aOutcome == contention_outcome::Served;
  mAll.Record(wasServed, aNow);
  mSlowAll.Record(wasServed, aNow);
  if (aOutcome == contention_outcome::Full) {
    mFull.Add(aNow);
  }
  class_state& own = mClasses[Bounded(aRequest.mClass)];
  ++own.mRequests;
  own.mShare.Record(wasServed, aNow);
  own.mSlowShare.Record(wasServed, aNow);
  auto route = mRoutes.find(aRequest.mRoute);
  if (route == mRoutes.end() && mRoutes.size() < kMaxRoutes) {
    route =
      mRoutes.emplace(std::string(aRequest.mRoute), share_meter(kShareTime))
        .first;
  }
  if (route != mRoutes.end()) {
    route->second.Record(wasServed, aNow);
  }
  if (!aRequest.mCustomer.empty()) {
    RecordCustomer(own, aRequest.mCustomer, wasServed, aNow);
  }
  return Update(aNow);
}

} // namespace laburnumdyke
