// Where requests are steered by measured demand, a setting.
#pragma once

namespace laburnumdyke {

enum class uneven_load
{
  Auto, // for services whose upstreams report how long work takes
  Always,
  Never,
};

} // namespace laburnumdyke
