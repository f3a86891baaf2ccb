// Divides by failure domains and not by instances: the document declares the
// domains, whereas instances have no common view of each other.
#include "laburnumdyke/decision/link_rate.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr byte_rate kBytesInMegabit = 1000 * 1000 / 8;

} // namespace

std::optional<byte_rate>
DomainRate(const document& aDocument, const link_direction& aDirection)
{
  if (aDocument.mLinks.empty()) {
    return std::nullopt;
  }
  byte_rate rate = 0;
  for (const link_map::value_type& entry : aDocument.mLinks) {
    const link_spec& link = entry.second;
    bool connects =
      (link.mFirst == aDirection.mFrom && link.mSecond == aDirection.mTo) ||
      (link.mFirst == aDirection.mTo && link.mSecond == aDirection.mFrom);
    if (connects) {
      rate += link.mMegabitsPerSecond * kBytesInMegabit;
    }
  }
  byte_rate domains = static_cast<byte_rate>(
    std::count_if(aDocument.mDomains.begin(),
                  aDocument.mDomains.end(),
                  [&](const domain_map::value_type& aDomain) {
                    return aDomain.second.mRegion == aDirection.mFrom;
                  }));
  return rate / std::max<byte_rate>(1, domains);
}

byte_rate
ReserveRate(byte_rate aDomainRate)
{
  return aDomainRate * kReservePercent / 100 / kMaxInstancesPerDomain;
}

} // namespace laburnumdyke
