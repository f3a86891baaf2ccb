// Named links of a test, each a link stand-in that runs in the test's own
// process.
//
// Usage:
//   link_set links;
//   links.Open("platform of leinster-a-1", near, far);
//   links.Set("platform of leinster-a-1", { .mCut = true });
#pragma once

#include "laburnumdyke/testing/standin/link_standin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace laburnumdyke {

class link_set
{
public:
  link_set();
  ~link_set();
  link_set(const link_set&) = delete;
  link_set& operator=(const link_set&) = delete;

  // Opens a link from aNear to aTo; stops the test where aNear can't be had.
  // aNear must be a port that no outgoing connection is given, so that a cut
  // link gets it back.
  void Open(const std::string& aName,
            const endpoint& aNear,
            const endpoint& aTo);

  // A link that was never opened is ignored.
  void Set(const std::string& aName, const link_faults& aFaults);

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::map<std::string, std::unique_ptr<link_standin>> mLinks;
  std::thread mThread;
};

} // namespace laburnumdyke
