// Idle HTTP connections to upstreams and entry instances, for reuse.
//
// A connection is returned only after the whole answer to its last request was
// read, so that an answer can't be matched to another request. Take() discards
// connections that were closed by the peer or hold unexpected bytes.
#pragma once

#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/plugin/http_types.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace laburnumdyke {

// Owns a connected socket that is not bound to an executor.
class idle_socket
{
public:
  idle_socket() = default;
  explicit idle_socket(int aHandle)
    : mHandle(aHandle)
  {
  }
  idle_socket(idle_socket&& aOther) noexcept
    : mHandle(aOther.Release())
  {
  }
  idle_socket& operator=(idle_socket&& aOther) noexcept;
  ~idle_socket();

  // Whether the peer has neither closed the connection nor sent anything.
  bool IsReusable() const;

  // Gives up ownership of the handle; -1 if there is none.
  int Release();

private:
  int mHandle = -1;
};

class connection_pool
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Connections;
  static constexpr std::chrono::seconds kMaxIdleTime{ 20 };
  static constexpr std::size_t kIdlePerEndpoint = 16;

  std::optional<idle_socket> Take(const endpoint& aEndpoint,
                                  std::chrono::steady_clock::time_point aNow);
  void Put(const endpoint& aEndpoint,
           idle_socket aSocket,
           std::chrono::steady_clock::time_point aNow,
           std::chrono::milliseconds aIdleTime = kMaxIdleTime);

private:
  struct idle_connection
  {
    idle_socket mSocket;
    std::chrono::steady_clock::time_point mUntil; // when it expires
  };

  std::map<endpoint, std::vector<idle_connection>> mIdle;
};

} // namespace laburnumdyke
