// Cost of membership by the number of instances of a domain, and routing by
// most credit against the better of two at random.
//
// Usage: membership_bench
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/plugin/heartbeat_codec.h"

#include <cstdio>
#include <ctime>

using namespace laburnumdyke;
using std::chrono::milliseconds;

namespace {

constexpr int kUpstreamsPerMember = 3;
constexpr int kServices = 3;

member
MemberOf(std::size_t aIndex)
{
  member one;
  one.mInstance.mValue = "leinster-a-" + std::to_string(aIndex);
  one.mIncarnation = 1700000000000 + aIndex;
  one.mRegion.mValue = "leinster";
  one.mDomain.mValue = "leinster-a";
  std::uint16_t port = static_cast<std::uint16_t>(7000 + aIndex);
  one.mCaller = { "192.0.2.1", port };
  one.mRelay = { "192.0.2.2", port };
  one.mPeer = { "192.0.2.3", port };
  return one;
}

std::map<upstream_id, upstream_terms>
TermsFor(std::size_t aMembers)
{
  std::map<upstream_id, upstream_terms> terms;
  for (std::size_t i = 0; i < aMembers * kUpstreamsPerMember; ++i) {
    terms[{ "report-" + std::to_string(i) }] = { 3, milliseconds(2000) };
  }
  return terms;
}

// Processor time of this thread.
duration
CpuTime()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

heartbeat
ComposeWhole(membership& aMember, instant aNow)
{
  heartbeat message = aMember.Compose(aNow);
  message.mContentHash = std::string(32, 'x');
  for (int i = 0; i < kServices; ++i) {
    message.mCredits.push_back({ { "service-" + std::to_string(i) }, 9, 3 });
  }
  return message;
}

// A full mesh in which all are measured together, after it has settled.
void
MeasureMesh(std::size_t aMembers)
{
  std::vector<membership> members(aMembers);
  for (std::size_t i = 0; i < aMembers; ++i) {
    members[i].Open(MemberOf(i), {});
  }
  std::map<upstream_id, upstream_terms> terms = TermsFor(aMembers);
  instant now{ std::chrono::hours(1) };
  std::size_t withLease = 0;
  std::size_t without = 0;
  std::uint64_t sent = 0;
  std::uint64_t heard = 0;
  duration compose{};
  duration hear{};
  int rounds = 12;
  for (int round = 0; round < rounds; ++round) {
    now += membership::kPeriod;
    bool counts = round >= rounds - 2;
    std::vector<std::string> messages;
    duration begun = CpuTime();
    for (membership& one : members) {
      one.Lease().Claims(terms, now);
      heartbeat message = ComposeWhole(one, now);
      messages.push_back(EncodeHeartbeat(message));
      message.mLease = {};
      without = EncodeHeartbeat(message).size();
    }
    duration composed = CpuTime();
    for (std::size_t to = 0; to < aMembers; ++to) {
      for (std::size_t from = 0; from < aMembers; ++from) {
        if (from != to) {
          members[to].Hear(*DecodeHeartbeat(messages[from]), now);
        }
      }
    }
    if (counts) {
      compose += composed - begun;
      hear += CpuTime() - composed;
      sent += aMembers;
      heard += aMembers * (aMembers - 1);
      withLease = messages.front().size();
    }
  }
  double composeUs =
    std::chrono::duration<double, std::micro>(compose).count() /
    static_cast<double>(sent);
  double hearUs = std::chrono::duration<double, std::micro>(hear).count() /
                  static_cast<double>(heard);
  double perSecond =
    1.0 / std::chrono::duration<double>(membership::kPeriod).count();
  double peers = static_cast<double>(aMembers - 1);
  double bytes = perSecond * peers * static_cast<double>(withLease);
  double core = perSecond * (composeUs + peers * hearUs) / 1e4;
  std::printf("members=%zu bytes_with_lease=%zu bytes_without=%zu "
              "compose_us=%.1f hear_us=%.1f mesh_bytes_s=%.0f "
              "mesh_core_percent=%.2f\n",
              aMembers,
              withLease,
              without,
              composeUs,
              hearUs,
              bytes,
              core);
}

constexpr std::size_t kRelays = 6;
constexpr std::uint32_t kPeerSlots = 9;

struct relay_result
{
  std::uint64_t mServed = 0;
  std::uint64_t mRefused = 0; // found no free slot at the peer
};

// Relays send requests of 200 ms to four homes whose adverts are as old as
// the heartbeats' period.
template<relay_choice Choice>
relay_result
MeasureRouting(double aLoad, std::vector<basic_router<Choice>> aRouters)
{
  const service_id service{ "reports" };
  const milliseconds work(200);
  std::mt19937_64 random(7);
  std::vector<std::multiset<instant>> busy(4);
  std::vector<peer> adverts(4);
  instant now{ std::chrono::hours(1) };
  instant end = now + std::chrono::seconds(300);
  instant advertised{};
  double perSecond = aLoad * 4 * kPeerSlots / 0.2;
  std::exponential_distribution<double> gap(perSecond);
  relay_result result;
  while (now < end) {
    now += std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(gap(random)));
    for (std::multiset<instant>& one : busy) {
      one.erase(one.begin(), one.upper_bound(now));
    }
    if (now - advertised >= membership::kPeriod) {
      advertised = now;
      for (std::size_t i = 0; i < busy.size(); ++i) {
        adverts[i].mLast.mSender = MemberOf(i);
        std::uint32_t used = static_cast<std::uint32_t>(busy[i].size());
        adverts[i].mLast.mCredits = {
          { service, kPeerSlots, kPeerSlots - used }
        };
        adverts[i].mHeard = now;
      }
    }
    std::size_t relay = random() % kRelays;
    member self = MemberOf(100 + relay);
    route next =
      aRouters[relay].Choose({ service, self, {}, adverts, {} }, now);
    for (std::size_t i = 0; i < busy.size(); ++i) {
      if (next.mTarget.mInstance == adverts[i].mLast.mSender.mInstance) {
        bool free = busy[i].size() < kPeerSlots;
        ++(free ? result.mServed : result.mRefused);
        if (free) {
          busy[i].insert(now + work);
        }
      }
    }
  }
  return result;
}

void
CompareRouting(double aLoad)
{
  std::vector<basic_router<two_choices>> two;
  for (std::size_t i = 0; i < kRelays; ++i) {
    two.emplace_back(two_choices{ std::mt19937_64(i) });
  }
  relay_result most = MeasureRouting<most_credit>(
    aLoad, std::vector<basic_router<most_credit>>(kRelays));
  relay_result better = MeasureRouting<two_choices>(aLoad, two);
  auto share = [](const relay_result& aResult) {
    return 100.0 * static_cast<double>(aResult.mRefused) /
           static_cast<double>(aResult.mServed + aResult.mRefused);
  };
  std::printf("load=%.2f full_peer_percent most_credit=%.2f two_choices=%.2f\n",
              aLoad,
              share(most),
              share(better));
}

} // namespace

int
main()
{
  for (std::size_t members : { 8, 25, 54 }) {
    MeasureMesh(members);
  }
  for (double load : { 0.5, 0.7, 0.95 }) {
    CompareRouting(load);
  }
  return 0;
}
