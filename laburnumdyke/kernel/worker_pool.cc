// One io_context shared by all workers, rather than one for each: the work is
// short handlers, and a shared queue needs no balancing between workers.
#include "laburnumdyke/kernel/worker_pool.h"

namespace laburnumdyke {

worker_pool::worker_pool(std::size_t aWorkers)
  : mWorkers(aWorkers)
  , mContext(static_cast<int>(aWorkers))
  , mGuard(boost::asio::make_work_guard(mContext))
{
}

worker_pool::~worker_pool()
{
  Stop();
}

void
worker_pool::Start()
{
  for (std::size_t i = 0; i < mWorkers; ++i) {
    mThreads.emplace_back([this]() { mContext.run(); });
  }
}

void
worker_pool::Stop()
{
  mGuard.reset();
  mContext.stop();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

} // namespace laburnumdyke
