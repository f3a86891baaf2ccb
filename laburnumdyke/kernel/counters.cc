// One map under a single lock: the cost of an increment is small next to the
// I/O of the request that it counts, and a snapshot is consistent.
#include "laburnumdyke/kernel/counters.h"

namespace laburnumdyke {

void
counters::Add(std::string_view aName,
              std::string_view aReason,
              std::uint64_t aCount)
{
  counter_key key{ std::string(aName), std::string(aReason) };
  mValues.With([&](snapshot& aValues) { aValues[std::move(key)] += aCount; });
}

std::uint64_t
counters::Value(std::string_view aName, std::string_view aReason)
{
  counter_key key{ std::string(aName), std::string(aReason) };
  return mValues.With([&](snapshot& aValues) -> std::uint64_t {
    snapshot::const_iterator found = aValues.find(key);
    return found == aValues.end() ? 0 : found->second;
  });
}

counters::snapshot
counters::Snapshot()
{
  return mValues.With([](snapshot& aValues) { return aValues; });
}

} // namespace laburnumdyke
