// Last in, first out: the most recently used connection is reused, and surplus
// ones expire. All endpoints are searched for expired ones once in an interval,
// so the cost for a request stays small.
#include "laburnumdyke/plugin/connection_pool.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
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

connection_pool::connection_pool()
  : connection_pool(kMostIdle)
{
  struct rlimit descriptors;
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    mMost = std::min<std::size_t>(mMost, descriptors.rlim_cur / 4);
  }
}

void
connection_pool::RemoveExpired(std::chrono::steady_clock::time_point aNow)
{
  if (aNow < mNextSweep) {
    return;
  }
  mNextSweep = aNow + kSweepInterval;
  for (auto entry = mIdle.begin(); entry != mIdle.end();) {
    mSize -= std::erase_if(entry->second, [&](const idle_connection& aOne) {
      return aNow >= aOne.mUntil;
    });
    entry = entry->second.empty() ? mIdle.erase(entry) : std::next(entry);
  }
}

std::optional<idle_socket>
connection_pool::Take(const endpoint& aEndpoint,
                      std::chrono::steady_clock::time_point aNow)
{
  RemoveExpired(aNow);
  auto found = mIdle.find(aEndpoint);
  if (found == mIdle.end()) {
    return std::nullopt;
  }
  std::vector<idle_connection>& idle = found->second;
  while (!idle.empty()) {
    idle_connection last = std::move(idle.back());
    idle.pop_back();
    --mSize;
    if (aNow < last.mUntil && last.mSocket.IsReusable()) {
      return std::move(last.mSocket);
    }
  }
  mIdle.erase(found);
  return std::nullopt;
}

void
connection_pool::Put(const endpoint& aEndpoint,
                     idle_socket aSocket,
                     std::chrono::steady_clock::time_point aNow,
                     std::chrono::milliseconds aIdleTime)
{
  RemoveExpired(aNow);
  if (mSize >= mMost) {
    return;
  }
  std::vector<idle_connection>& idle = mIdle[aEndpoint];
  if (idle.size() < kIdlePerEndpoint) {
    idle.push_back({ std::move(aSocket), aNow + aIdleTime });
    ++mSize;
  }
}

void
connection_pool::Discard(const endpoint& aEndpoint)
{
  auto found = mIdle.find(aEndpoint);
  if (found != mIdle.end()) {
    mSize -= found->second.size();
    mIdle.erase(found);
  }
}

} // namespace laburnumdyke
