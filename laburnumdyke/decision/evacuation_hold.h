// Decides which failure domains are evacuated, also after the store has been
// restored from a backup.
//
// Usage:
//   evacuation_hold evacuations;
//   evacuated = evacuations.Apply(reading, isRestored, known, now);
//   evacuated = evacuations.Expire(known, now); // regularly
//
// Normally they are those that the operator's table shows. A backup may lack an
// evacuation, or show one that has ended. After a restore the set in force is
// therefore held, and only rows written since the restore change it. The table
// alone decides again after kMinHold, once it shows a configuration at least as
// new as the known one, and in any case after kMaxHold.
#pragma once

#include "laburnumdyke/decision/platform_reading.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace laburnumdyke {

class evacuation_hold
{
public:
  // The operator writes again what was lost within seconds. The table may show
  // the known configuration before the evacuations are written.
  static constexpr std::chrono::milliseconds kMinHold{ 5000 };
  // If the configuration is never written again.
  static constexpr std::chrono::milliseconds kMaxHold{ 60000 };

  // aIsRestored: the reading is the first one of a restored store.
  // aConfiguration: the latest version of the configuration that is known,
  // including that of the reading.
  const std::set<domain_id>& Apply(const control_reading& aReading,
                                   bool aIsRestored,
                                   std::uint64_t aConfiguration,
                                   instant aNow);

  // Ends the hold if it is time. Returns the evacuated domains.
  const std::set<domain_id>& Expire(std::uint64_t aConfiguration, instant aNow);

  bool IsHeld() const { return mHeldSince.has_value(); }

private:
  void BeginHold(const std::set<domain_id>& aTableBefore, instant aNow);
  void ChangeHeld(const std::set<domain_id>& aTableBefore,
                  const control_reading& aReading);

  std::set<domain_id> mTable; // as the operator's table shows them
  std::set<domain_id> mEnded; // evacuated before, but not in the table now
  std::uint64_t mTableConfiguration = 0;
  std::set<domain_id> mHeld;
  std::optional<instant> mHeldSince;
};

} // namespace laburnumdyke
