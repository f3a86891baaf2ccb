// The objects that an instance has lately sent to one upstream, which the
// upstream therefore knows.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace laburnumdyke {

class recent_objects
{
public:
  // Fewer than upstreams remember, since others send them objects too.
  static constexpr std::size_t kMost = 8;

  bool Has(std::string_view aObject) const
  {
    return std::find(mObjects.begin(), mObjects.end(), aObject) !=
           mObjects.end();
  }

  void Add(std::string_view aObject)
  {
    std::erase(mObjects, aObject);
    mObjects.emplace_back(aObject);
    if (mObjects.size() > kMost) {
      mObjects.pop_front();
    }
  }

private:
  std::deque<std::string> mObjects; // the latest last
};

} // namespace laburnumdyke
