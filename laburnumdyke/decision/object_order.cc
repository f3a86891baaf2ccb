// Weighted rendezvous hashing with exponentially distributed scores: of several
// candidates each is the highest in proportion to its weight.
#include "laburnumdyke/decision/object_order.h"

#include "laburnumdyke/decision/rendezvous.h"

#include <cmath>

namespace laburnumdyke {

double
OrderScore(const upstream_id& aUpstream,
           double aWeight,
           std::string_view aObject)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  constexpr double kLargestPart = 1 - 1e-12;        // its logarithm is not 0
  double hash =
    static_cast<double>(RendezvousWeight(aUpstream.mValue, aObject));
  return -aWeight / std::log(std::min((hash + 1) / kRange, kLargestPart));
}

} // namespace laburnumdyke
