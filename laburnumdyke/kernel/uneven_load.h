// Where uneven load is taken into account, a setting: which requests are
// admitted when a service has too little capacity for all and, with Always, a
// division of requests among regions by measured demand.
#pragma once

namespace laburnumdyke {

enum class uneven_load
{
  // For services whose upstreams report how long work takes on their machine,
  // and for all services where the configuration lists customers.
  Auto,
  Always,
  Never,
};

} // namespace laburnumdyke
