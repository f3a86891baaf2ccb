// The one table of lock ranks.
//
// A thread may take a lock only if its rank is greater than that of every lock
// the thread already holds. ranked_mutex checks this on every acquisition, so
// a cycle is reported on the first run that takes the locks in the wrong
// order, whether or not the threads happen to collide.
//
// No lock is held across I/O, across co_await or while calling back into a
// plug-in.
#pragma once

#include <string_view>

namespace laburnumdyke {

// Ordered from the outermost lock to the innermost.
enum class lock_rank : int
{
  Kernel = 0,       // the kernel's directory of tables
  Lifecycle = 5,    // starting, running, leaving, stopped
  Document = 10,    // document in force
  Listed = 15,      // the platform's list of instances
  Membership = 20,  // peers, incarnations, leases
  Adverts = 25,     // what was handed to peers since their adverts
  Placement = 30,   // client blocks to failure domains
  Identity = 40,    // outcomes by request identity
  Regions = 45,     // region caps and shifts
  Admission = 50,   // upstream slots and queues
  Links = 60,       // byte budgets for region pairs
  Retries = 70,     // retry budget
  Waiters = 75,     // coroutines that wait for a slot
  Connections = 80, // idle upstream connections
  Counters = 90,    // counters by name and reason
  Latency = 95,     // histograms by rank
  Log = 99,         // taken last: any holder may log
};

} // namespace laburnumdyke
