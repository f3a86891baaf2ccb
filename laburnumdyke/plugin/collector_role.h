// Which part this instance has in the exchange of reports within its failure
// domain and with others: it reports to the collector, or is the collector.
//
// Each instance takes itself for the collector of its failure domain if it
// knows no older live one. Two may do so for a moment; each then sends the sum
// of the members that report to it.
//
// Usage, on the strand of the link that carries the reports:
//   switch (role.Take(now)) {
//     case collector_duty::Report: ... to role.Collector()
//     case collector_duty::Collect: ... to role.Contacts() and role.Members()
//   }
#pragma once

#include "laburnumdyke/plugin/steering_tables.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

enum class collector_duty
{
  None,    // the fleet is not known yet
  Report,  // to the collector
  Prepare, // a new collector: it takes reports, and sends none yet
  Collect,
};

class collector_role
{
public:
  // aEvent: logged when the instance becomes the collector. A new collector
  // waits for the reports of its members for aWarmUp before it sends sums.
  collector_role(kernel& aKernel,
                 std::string aEvent,
                 std::chrono::milliseconds aWarmUp)
    : mKernel(aKernel)
    , mTables(aKernel)
    , mEvent(std::move(aEvent))
    , mWarmUp(aWarmUp)
  {
  }

  // The duty in the next exchange. Call it once for each: it starts the warm-up
  // of a new collector and logs it.
  collector_duty Take(instant aNow);

  // The collector of the own failure domain; nullopt if it is this instance, or
  // the fleet is not known yet.
  std::optional<endpoint> Collector(instant aNow);

  // Two instances of each other failure domain, which pass a message on to
  // their collector. Call once for each exchange; the choice changes every
  // kTurnLength calls, so that connections are reused.
  std::vector<endpoint> Contacts();

  std::vector<endpoint> Members(instant aNow);

private:
  // Exchanges with the same contacts.
  static constexpr std::uint64_t kTurnLength = 25;

  kernel& mKernel;
  steering_tables mTables;
  std::string mEvent;
  std::chrono::milliseconds mWarmUp;
  std::optional<instant> mSince; // when it became the collector
  std::uint64_t mExchanges = 0;
};

} // namespace laburnumdyke
