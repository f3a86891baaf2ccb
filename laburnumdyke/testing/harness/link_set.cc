// One thread relays every link: tests send little over them.
#include "laburnumdyke/testing/harness/link_set.h"

#include <cstdio>
#include <cstdlib>

namespace laburnumdyke {

link_set::link_set()
  : mContext(1)
  , mGuard(mContext.get_executor())
  , mThread([this]() { mContext.run(); })
{
}

link_set::~link_set()
{
  for (std::pair<const std::string, std::unique_ptr<link_standin>>& one :
       mLinks) {
    one.second->Stop();
  }
  mGuard.reset();
  mContext.stop();
  mThread.join();
}

void
link_set::Open(const std::string& aName,
               const endpoint& aNear,
               const endpoint& aTo)
{
  link_standin_options options;
  options.mListen = aNear;
  options.mTo = aTo;
  std::unique_ptr<link_standin> link =
    std::make_unique<link_standin>(mContext, options);
  std::optional<std::string> failure = link->Start();
  if (failure) {
    std::fprintf(stderr, "link %s: %s\n", aName.c_str(), failure->c_str());
    std::exit(2);
  }
  mLinks[aName] = std::move(link);
}

void
link_set::Set(const std::string& aName, const link_faults& aFaults)
{
  auto found = mLinks.find(aName);
  if (found != mLinks.end()) {
    found->second->Set(aFaults);
  }
}

} // namespace laburnumdyke
