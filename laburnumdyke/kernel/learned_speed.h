// When the learned speed of upstreams is used, a setting.
#pragma once

namespace laburnumdyke {

enum class learned_speed
{
  Reported, // for upstreams that report how long work takes on their machine
  Always,
  Never,
};

} // namespace laburnumdyke
