// A shared table: state that can be accessed only with its ranked mutex held.
//
// Usage:
//   guarded<peer_table, lock_rank::Membership> peers;
//   size_t live = peers.With([](peer_table& aPeers) { return aPeers.Live(); });
//
// The function passed to With must not block, perform I/O or call a plug-in.
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

// A type that the kernel can hold as a shared table: kLockRank is the rank of
// the mutex that protects it.
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
