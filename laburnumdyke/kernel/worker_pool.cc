// All workers share one io_context: handlers are short, and a shared queue
// needs no load balancing between workers.
#include "laburnumdyke/kernel/worker_pool.h"

namespace laburnumdyke {

worker_pool::worker_pool(std::size_t aWorkers)
  : mWorkerCount(aWorkers)
  , mContext(static_cast<int>(aWorkers))
  , mWorkGuard(boost::asio::make_work_guard(mContext))
{
}

worker_pool::~worker_pool()
{
  Stop();
}

void
worker_pool::Start()
{
  for (std::size_t i = 0; i < mWorkerCount; ++i) {
    mThreads.emplace_back([this]() { mContext.run(); });
  }
}

void
worker_pool::Stop()
{
  mWorkGuard.reset();
  mContext.stop();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

} // namespace laburnumdyke
