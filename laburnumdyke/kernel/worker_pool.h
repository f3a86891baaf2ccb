// A pool of worker threads that run one Boost.Asio io_context.
//
// Every handler and coroutine of a kernel runs on this pool. Workers block in
// the reactor while there is nothing to do.
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

  // Abandons pending handlers and joins the workers. Idempotent. Must not be
  // called by a worker.
  void Stop();

private:
  std::size_t mWorkers;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::vector<std::thread> mThreads;
};

} // namespace laburnumdyke
