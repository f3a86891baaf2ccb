// The era of the platform's store, as reported by the store or by peers. It
// rises when the store is restored from a backup: see docs/design/store-era.md.
//
// Usage, all on one strand:
//   store_era era(kernel, [](std::uint64_t aEra) { ... return isRestore; },
//                 [] { ... read everything again });
//   era.LearnFromStore(source.Era()); // after each call of the store
//   era.LearnFromPeers();             // regularly
//
// The first handler gets each later era and returns whether anything read in
// an earlier one must be read again; if so, the second handler is called once
// the change has been logged.
//
// Errors: none. An era that is not later than the known one changes nothing.
#pragma once

#include "laburnumdyke/plugin/steering_tables.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace laburnumdyke {

class store_era
{
public:
  using era_handler = std::function<bool(std::uint64_t aEra)>;
  using restore_handler = std::function<void()>;

  store_era(kernel& aKernel,
            era_handler aOnLaterEra,
            restore_handler aOnRestore);

  // Passes the era on to peers, too.
  void LearnFromStore(std::uint64_t aEra);
  // The latest era in heartbeats.
  void LearnFromPeers();
  // The era of a peer's copy of the control state.
  void LearnFromPeer(std::uint64_t aEra);

  // Whether the store reports eras at all, as far as is known.
  bool IsKnown() const { return mEra != 0; }

private:
  void Learn(std::uint64_t aEra, std::string_view aFrom);

  kernel& mKernel;
  steering_tables mTables;
  era_handler mOnLaterEra;
  restore_handler mOnRestore;
  std::uint64_t mEra = 0; // the latest known
};

} // namespace laburnumdyke
