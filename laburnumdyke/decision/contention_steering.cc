// How the choice of an upstream uses what is known about contention. Only first
// attempts are counted: a second one concerns a request that was counted.
#include "laburnumdyke/decision/upstream_steering.h"

#include <algorithm>

namespace laburnumdyke {

bool
upstream_steering::UsesUnevenLoad(
  const std::vector<const upstream*>& aUpstreams,
  instant aNow) const
{
  switch (mOptions.mUnevenLoad) {
    case uneven_load::Always:
      return true;
    case uneven_load::Auto:
      return (mRoutes && mRoutes->Customers() != nullptr) ||
             std::any_of(aUpstreams.begin(),
                         aUpstreams.end(),
                         [&](const upstream* aUpstream) {
                           return aUpstream->mSpeed.IsReporting(aNow);
                         });
    case uneven_load::Never:
      break;
  }
  return false;
}

contending_request
upstream_steering::Contending(const steering_request& aRequest) const
{
  const customer_spec* customer = aRequest.mCustomer;
  contending_request request;
  request.mClass.mIsOverflow =
    mRoutes && mRoutes->IsOverflow(aRequest.mRoute, aRequest.mService);
  request.mClass.mPriority = PriorityOf(aRequest.mRoute, customer);
  request.mRoute = aRequest.mRoute.mName;
  request.mCustomer =
    customer == nullptr ? std::string_view() : customer->mName.mValue;
  return request;
}

contention_room
upstream_steering::RoomOf(const steering_request& aRequest,
                          const std::vector<const upstream*>& aUpstreams,
                          instant aNow) const
{
  auto found = mContentions.find(aRequest.mService);
  return found == mContentions.end() || !UsesUnevenLoad(aUpstreams, aNow)
           ? contention_room()
           : found->second.Room(Contending(aRequest), aNow);
}

std::optional<contention_change>
upstream_steering::RecordContention(const steering_request& aRequest,
                                    refusal_reason aRefusal,
                                    instant aNow)
{
  if (!aRequest.mTried.empty() || aRefusal == refusal_reason::NoUpstream ||
      !UsesUnevenLoad(UpstreamsOf(aRequest.mService), aNow)) {
    return std::nullopt;
  }
  contention_outcome outcome =
    aRefusal == refusal_reason::None             ? contention_outcome::Served
    : aRefusal == refusal_reason::YieldsToOthers ? contention_outcome::Yielded
                                                 : contention_outcome::Full;
  return mContentions[aRequest.mService].Record(
    Contending(aRequest), outcome, aNow);
}

void
upstream_steering::RecordShed(const service_id& aService, instant aNow)
{
  auto found = mContentions.find(aService);
  if (found != mContentions.end()) {
    found->second.RecordShed(aNow);
  }
}

} // namespace laburnumdyke
