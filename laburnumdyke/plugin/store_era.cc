// An era only rises, so the highest one that was reported anywhere is in force.
// The era is recorded last: the handlers see the change as not yet complete.
#include "laburnumdyke/plugin/store_era.h"

#include <string>
#include <utility>

namespace laburnumdyke {

store_era::store_era(kernel& aKernel,
                     era_handler aOnLaterEra,
                     restore_handler aOnRestore)
  : mKernel(aKernel)
  , mTables(aKernel)
  , mOnLaterEra(std::move(aOnLaterEra))
  , mOnRestore(std::move(aOnRestore))
{
}

void
store_era::LearnFromStore(std::uint64_t aEra)
{
  mTables.Fleet().With([&](fleet_state& aFleet) { aFleet.NoteEra(aEra); });
  Learn(aEra, "store");
}

void
store_era::LearnFromPeers()
{
  Learn(mTables.Fleet().With(
          [](const fleet_state& aFleet) { return aFleet.Era(); }),
        "peer");
}

void
store_era::LearnFromPeer(std::uint64_t aEra)
{
  Learn(aEra, "peer");
}

void
store_era::Learn(std::uint64_t aEra, std::string_view aFrom)
{
  if (aEra <= mEra) {
    return;
  }
  if (mOnLaterEra(aEra)) {
    mKernel.Log().Warn("store_era_changed",
                       { { "from", std::to_string(mEra) },
                         { "to", std::to_string(aEra) },
                         { "learned_from", std::string(aFrom) } });
    mKernel.Counters().Add("store_era_changes_total", aFrom);
    // The store's clock may have started anew with it.
    mTables.InForce().With(
      [](routes_in_force& aInForce) { aInForce.mAge.Reset(); });
    mOnRestore();
  }
  mEra = aEra;
}

} // namespace laburnumdyke
