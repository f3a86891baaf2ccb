// The ranks of all locks.
//
// A thread may acquire a lock only if its rank is greater than that of every
// lock the thread already holds. ranked_mutex checks this on every acquisition,
// so that a wrong order is reported on the first run that uses it, even if no
// deadlock occurs.
//
// No lock is held across I/O, across co_await or during calls into a plug-in.
#pragma once

#include <string_view>

namespace laburnumdyke {

// Ordered from the outermost lock to the innermost.
enum class lock_rank : int
{
  Kernel = 0,        // the kernel's map of tables
  Lifecycle = 5,     // starting, running, leaving, stopped
  Document = 10,     // document in force
  PlatformCopy = 15, // instance list and rows read from the platform
  Membership = 20,   // peers, incarnations, leases
  Adverts = 25,      // requests relayed to peers since their adverts
  Placement = 30,    // failure domains of client blocks
  Identity = 40,     // outcomes by request identity
  Regions = 45,      // region caps and shifts
  Admission = 50,    // upstream slots and queues
  Links = 60,        // byte budgets of region pairs
  Bodies = 62,       // memory of requests and responses
  Blocks = 63,       // released blocks that are kept for reuse
  Quotas = 65,       // usage of customers
  Retries = 70,      // retry budget
  Waiters = 75,      // coroutines that wait for a slot
  Connections = 80,  // idle upstream connections
  Counters = 90,     // counters by name and reason
  Latency = 95,      // latency histograms by label
  Log = 99,          // innermost: logging is allowed under any lock
};

} // namespace laburnumdyke
