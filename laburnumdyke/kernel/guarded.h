// A shared table: state that is only reachable under its ranked mutex.
//
// Usage:
//   guarded<peer_table, lock_rank::Membership> peers;
//   size_t live = peers.With([](peer_table& aPeers) { return aPeers.Live(); });
//
// The function must not block, perform I/O or call a plug-in.
#pragma once

#include "laburnumdyke/kernel/ranked_mutex.h"

#include <functional>
#include <mutex>
#include <utility>

namespace laburnumdyke {

template<class State, lock_rank Rank>
class guarded
{
public:
  template<class... Args>
  explicit guarded(Args&&... aArgs)
    : mState(std::forward<Args>(aArgs)...)
  {
  }

  guarded(const guarded&) = delete;
  guarded& operator=(const guarded&) = delete;

  template<class Function>
  decltype(auto) With(Function&& aFunction)
  {
    std::scoped_lock<ranked_mutex<Rank>> lock(mMutex);
    return std::invoke(std::forward<Function>(aFunction), mState);
  }

private:
  ranked_mutex<Rank> mMutex;
  State mState;
};

// A type that can be kept in the kernel as a shared table: it names the rank
// of the lock that guards it.
template<class T>
concept shared_state = requires
{
  {
    T::kLockRank
    } -> std::convertible_to<lock_rank>;
};

template<shared_state T>
using table = guarded<T, T::kLockRank>;

} // namespace laburnumdyke
