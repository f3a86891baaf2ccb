// Puts the operator's control state in force: the configuration and the
// evacuations.
//
// Usage, all on one strand:
//   control_in_force control(kernel);
//   control.Apply(reading, isRestored, version, now);
//   control.ExpireEvacuations(now); // regularly
//
// Errors: a configuration that can't be read is counted in
// configurations_unreadable_total and logged as configuration_unreadable with
// its fault. The present one stays in force, outdated: see knowledge_age.h.
#pragma once

#include "laburnumdyke/decision/evacuation_hold.h"
#include "laburnumdyke/decision/platform_reading.h"
#include "laburnumdyke/plugin/steering_tables.h"

#include <cstdint>
#include <optional>
#include <set>

namespace laburnumdyke {

class control_in_force
{
public:
  explicit control_in_force(kernel& aKernel);

  // aIsRestored: this is the first reading since a restore of the store.
  // aVersion: of the control state, once the reading is applied.
  void Apply(const control_reading& aReading,
             bool aIsRestored,
             store_version aVersion,
             instant aNow);

  // Puts a configuration in force if it is newer than the present one, whatever
  // reading it is from: its versions are the operator's, not the store's.
  void ApplyDocument(const std::optional<routing_document>& aDocument);

  // The evacuations held since a restore may end.
  void ExpireEvacuations(instant aNow);

private:
  void RecordUnreadable(const unreadable_document& aDocument);
  std::uint64_t DocumentVersion();
  void SetEvacuated(const std::set<domain_id>& aEvacuated, instant aNow);

  kernel& mKernel;
  steering_tables mTables;
  evacuation_hold mEvacuations;
};

} // namespace laburnumdyke
