// Objects of recent requests from this instance to one upstream, which the
// upstream is therefore expected to have cached.
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
  // Fewer than an upstream caches, since other instances send it objects too.
  static constexpr std::size_t kCapacity = 8;

  bool Contains(std::string_view aObject) const
  {
    return std::find(mObjects.begin(), mObjects.end(), aObject) !=
           mObjects.end();
  }

  void Add(std::string_view aObject)
  {
    std::erase(mObjects, aObject);
    mObjects.emplace_back(aObject);
    if (mObjects.size() > kCapacity) {
      mObjects.pop_front();
    }
  }

private:
  std::deque<std::string> mObjects; // most recent last
};

} // namespace laburnumdyke
