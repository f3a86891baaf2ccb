// Writes with stdio only: the event log itself may be what failed.
#include "laburnumdyke/kernel/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace laburnumdyke {

void
FailInvariant(std::string_view aName, std::string_view aState)
{
  std::fprintf(stderr,
               "event=invariant_broken name=%.*s %.*s\n",
               static_cast<int>(aName.size()),
               aName.data(),
               static_cast<int>(aState.size()),
               aState.data());
  std::fflush(stderr);
  std::abort();
}

} // namespace laburnumdyke
