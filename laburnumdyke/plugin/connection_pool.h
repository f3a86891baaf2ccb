// Idle HTTP connections to upstreams and entry instances, for reuse.
//
// A connection is returned only after the whole answer to its last request was
// read, so that an answer can't be matched to another request. Take() discards
// connections that were closed by the peer or hold unexpected bytes.
//
// Expired connections are closed also if their endpoint is not used again, such
// as that of an upstream that has been replaced, and the number of idle ones is
// bounded: descriptors remain for callers.
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
  // A quarter of the process's limit of descriptors, at most kMostIdle.
  connection_pool();
  // Keeps at most aMost idle connections.
  explicit connection_pool(std::size_t aMost)
    : mMost(aMost)
  {
  }

  static constexpr lock_rank kLockRank = lock_rank::Connections;
  static constexpr std::chrono::seconds kMaxIdleTime{ 20 };
  static constexpr std::size_t kIdlePerEndpoint = 16;
  static constexpr std::size_t kMostIdle = 1024; // of all endpoints
  // Between two searches for expired connections.
  static constexpr std::chrono::seconds kSweepInterval{ 1 };

  std::optional<idle_socket> Take(const endpoint& aEndpoint,
                                  std::chrono::steady_clock::time_point aNow);
  void Put(const endpoint& aEndpoint,
           idle_socket aSocket,
           std::chrono::steady_clock::time_point aNow,
           std::chrono::milliseconds aIdleTime = kMaxIdleTime);

  // Closes the idle connections to aEndpoint: what listens there has ended, or
  // one of them has gone silent.
  void Discard(const endpoint& aEndpoint);

  // Idle connections, of which some may have expired.
  std::size_t Size() const { return mSize; }

private:
  struct idle_connection
  {
    idle_socket mSocket;
    std::chrono::steady_clock::time_point mUntil; // when it expires
  };

  void RemoveExpired(std::chrono::steady_clock::time_point aNow);

  std::size_t mMost;
  std::size_t mSize = 0;
  std::chrono::steady_clock::time_point mNextSweep{};
  std::map<endpoint, std::vector<idle_connection>> mIdle;
};

} // namespace laburnumdyke
