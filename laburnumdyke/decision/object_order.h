// The order of upstreams for an object.
//
// Load pattern: upstreams are several times faster on objects they have cached,
// and cache few. If all instances order the upstreams for an object alike, and
// use only the first ones, the object stays cached there.
//
// Usage:
//   top_ranked<candidate, 2> top;
//   for (...) top.Add(candidate, OrderScore(id, weight, object));
//   for (const top_ranked<candidate, 2>::ranked& each : top.Ranked()) ...
#pragma once

#include "laburnumdyke/decision/types.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Score of an upstream for an object; the highest ranks first. An upstream is
// first for a part of the objects proportional to aWeight, which must be
// positive.
double
OrderScore(const upstream_id& aUpstream,
           double aWeight,
           std::string_view aObject);

// The Count candidates with the highest scores.
template<class Candidate, std::size_t Count>
class top_ranked
{
public:
  struct ranked
  {
    Candidate mCandidate;
    double mScore;
  };

  void Add(Candidate aCandidate, double aScore)
  {
    auto lower =
      std::find_if(mRanked.begin(), mRanked.end(), [&](const ranked& aRanked) {
        return aRanked.mScore < aScore;
      });
    if (lower == mRanked.end() && mRanked.size() >= Count) {
      return;
    }
    mRanked.insert(lower, { aCandidate, aScore });
    if (mRanked.size() > Count) {
      mRanked.pop_back();
    }
  }

  // Highest score first; equal scores in the order of Add.
  const std::vector<ranked>& Ranked() const { return mRanked; }

private:
  std::vector<ranked> mRanked;
};

} // namespace laburnumdyke
