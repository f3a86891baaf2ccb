// Last in, first out: the most recently used connection is reused, and surplus
// ones expire.
#include "laburnumdyke/plugin/connection_pool.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace laburnumdyke {

idle_socket&
idle_socket::operator=(idle_socket&& aOther) noexcept
{
  std::swap(mHandle, aOther.mHandle);
  return *this;
}

idle_socket::~idle_socket()
{
  if (mHandle >= 0) {
    ::close(mHandle);
  }
}

bool
idle_socket::IsReusable() const
{
  char byte = 0;
  ssize_t got = ::recv(mHandle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

int
idle_socket::Release()
{
  return std::exchange(mHandle, -1);
}

std::optional<idle_socket>
connection_pool::Take(const endpoint& aEndpoint,
                      std::chrono::steady_clock::time_point aNow)
{
  std::vector<idle_connection>& idle = mIdle[aEndpoint];
  while (!idle.empty()) {
    idle_connection last = std::move(idle.back());
    idle.pop_back();
    if (aNow < last.mUntil && last.mSocket.IsReusable()) {
      return std::move(last.mSocket);
    }
  }
  mIdle.erase(aEndpoint);
  return std::nullopt;
}

void
connection_pool::Put(const endpoint& aEndpoint,
                     idle_socket aSocket,
                     std::chrono::steady_clock::time_point aNow,
                     std::chrono::milliseconds aIdleTime)
{
  std::vector<idle_connection>& idle = mIdle[aEndpoint];
  idle.erase(std::remove_if(idle.begin(),
                            idle.end(),
                            [&](const idle_connection& aOne) {
                              return aNow >= aOne.mUntil;
                            }),
             idle.end());
  if (idle.size() < kIdlePerEndpoint) {
    idle.push_back({ std::move(aSocket), aNow + aIdleTime });
  }
}

} // namespace laburnumdyke
