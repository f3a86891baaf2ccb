// A pool of worker threads that run one Boost.Asio io_context.
//
// All handlers and coroutines of a kernel run on this pool. Idle workers block
// in the reactor.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <thread>
#include <vector>

namespace laburnumdyke {

class worker_pool
{
public:
  explicit worker_pool(std::size_t aWorkers);
  ~worker_pool();

  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  boost::asio::io_context& Context() { return mContext; }

  void Start();

  // Discards pending handlers and joins the workers. Idempotent. Must not be
  // called from a worker.
  void Stop();

private:
  std::size_t mWorkerCount;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWorkGuard;
  std::vector<std::thread> mThreads;
};

} // namespace laburnumdyke
