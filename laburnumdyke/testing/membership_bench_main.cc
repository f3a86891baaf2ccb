// Cost of membership by the number of instances of a domain and of domains, at
// rest and with every advert changing each period, and routing by most credit
// against the better of two at random.
//
// Usage: membership_bench [--homes]
//   --homes  leaves heartbeats out
#include "laburnumdyke/decision/routing.h"
#include "laburnumdyke/plugin/heartbeat_codec.h"

#include <cstdio>
#include <ctime>

using namespace laburnumdyke;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kUpstreamsPerMember = 3;
constexpr int kServices = 3;

member
MemberOf(std::size_t aIndex, std::size_t aDomain = 0)
{
  member one;
  one.mDomain.mValue =
    "leinster-" + std::string(1, static_cast<char>('a' + aDomain));
  one.mInstance.mValue = one.mDomain.mValue + "-" + std::to_string(aIndex);
  one.mIncarnation = 1700000000000 + aIndex;
  one.mRegion.mValue = "leinster";
  std::uint16_t port = static_cast<std::uint16_t>(7000 + aIndex);
  one.mCaller = { "192.0.2.1", port };
  one.mRelay = { "192.0.2.2", port };
  one.mPeer = { "192.0.2.3", port };
  return one;
}

std::map<upstream_id, upstream_limits>
TermsFor(std::size_t aMembers)
{
  std::map<upstream_id, upstream_limits> terms;
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

struct mesh
{
  std::size_t mPerDomain = 0;
  std::size_t mDomains = 1;
  bool mBusy = false; // adverts change each period
};

struct mesh_cost
{
  std::size_t mBytes = 0;       // sent by all in a period
  std::size_t mDomainBytes = 0; // of those, within the domain
  std::size_t mMessages = 0;
  duration mCompose{};
  duration mHear{};
  duration mClaims{};
};

std::vector<service_credit>
CreditsAt(std::uint32_t aRound)
{
  std::vector<service_credit> credits;
  for (int i = 0; i < kServices; ++i) {
    credits.push_back({ { "service-" + std::to_string(i) }, 9, aRound % 9 });
  }
  return credits;
}

struct sent_message
{
  std::size_t mTo = 0;
  std::string mBytes;
};

std::vector<sent_message>
SendAll(const mesh& aMesh,
        std::vector<membership>& aMembers,
        std::size_t aFrom,
        std::uint32_t aRound,
        instant aNow)
{
  heartbeat whole = aMembers[aFrom].Compose(aNow);
  whole.mVersion = 7;
  whole.mContentHash = std::string(32, 'x');
  whole.mStamp =
    std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch());
  whole.mCredits = CreditsAt(aMesh.mBusy ? aRound : 0);
  std::vector<sent_message> sent;
  for (const addressed_heartbeat& one : aMembers[aFrom].Address(whole, aNow)) {
    sent.push_back({ one.mTarget.mPort - std::size_t{ 7000 },
                     EncodeHeartbeat(one.mMessage) });
  }
  return sent;
}

// One period; whoever is heard by all before it sends acknowledges at once.
mesh_cost
RunPeriod(const mesh& aMesh,
          std::vector<membership>& aMembers,
          std::uint32_t aRound,
          instant aNow)
{
  std::map<upstream_id, upstream_limits> terms = TermsFor(aMesh.mPerDomain);
  mesh_cost cost;
  for (std::size_t from = 0; from < aMembers.size(); ++from) {
    duration begun = CpuTime();
    aMembers[from].Lease().UpdateClaims(terms, aNow);
    duration claimed = CpuTime();
    std::vector<sent_message> sent =
      SendAll(aMesh, aMembers, from, aRound, aNow);
    duration composed = CpuTime();
    for (const sent_message& one : sent) {
      aMembers[one.mTo].ReceiveHeartbeat(*DecodeHeartbeat(one.mBytes), aNow);
      bool isOwn = one.mTo / aMesh.mPerDomain == from / aMesh.mPerDomain;
      cost.mBytes += one.mBytes.size();
      cost.mDomainBytes += isOwn ? one.mBytes.size() : 0;
    }
    cost.mHear += CpuTime() - composed;
    cost.mCompose += composed - claimed;
    cost.mClaims += claimed - begun;
    cost.mMessages += sent.size();
  }
  return cost;
}

double
Micros(duration aTime)
{
  return std::chrono::duration<double, std::micro>(aTime).count();
}

// Every instance sends to every other; the costs are of the last rounds, when
// all have settled.
void
MeasureMesh(const mesh& aMesh)
{
  std::size_t members = aMesh.mPerDomain * aMesh.mDomains;
  std::vector<endpoint> seeds;
  for (std::size_t i = 0; i < members; ++i) {
    seeds.push_back(MemberOf(i, i / aMesh.mPerDomain).mPeer);
  }
  std::vector<membership> all(members);
  for (std::size_t i = 0; i < members; ++i) {
    all[i].Open(MemberOf(i, i / aMesh.mPerDomain), seeds);
  }
  instant now{ std::chrono::hours(1) };
  mesh_cost sum;
  constexpr std::uint32_t kSettle = 12;
  constexpr std::uint32_t kCounted = 8;
  for (std::uint32_t round = 0; round < kSettle + kCounted; ++round) {
    now += membership::kPeriod;
    mesh_cost cost = RunPeriod(aMesh, all, round, now);
    if (round >= kSettle) {
      sum.mBytes += cost.mBytes;
      sum.mDomainBytes += cost.mDomainBytes;
      sum.mMessages += cost.mMessages;
      sum.mCompose += cost.mCompose;
      sum.mHear += cost.mHear;
      sum.mClaims += cost.mClaims;
    }
  }
  double beats = static_cast<double>(members) * kCounted;
  double seconds =
    beats * std::chrono::duration<double>(membership::kPeriod).count();
  double core = Micros(sum.mCompose + sum.mHear + sum.mClaims) / seconds / 1e4;
  std::printf(
    "members=%zu domains=%zu busy=%d bytes_s=%.0f domain_bytes_s=%.0f "
    "bytes_a_message=%.0f claims_us=%.1f send_us=%.1f hear_us=%.2f "
    "core_percent=%.2f\n",
    aMesh.mPerDomain,
    aMesh.mDomains,
    aMesh.mBusy ? 1 : 0,
    static_cast<double>(sum.mBytes) / seconds,
    static_cast<double>(sum.mDomainBytes) / seconds,
    static_cast<double>(sum.mBytes) / static_cast<double>(sum.mMessages),
    Micros(sum.mClaims) / beats,
    Micros(sum.mCompose) / beats,
    Micros(sum.mHear) / static_cast<double>(sum.mMessages),
    core);
}

// The document's upstreams of all domains, of which the first domain's come
// first.
document
DocumentFor(std::size_t aMembers, std::size_t aDomains)
{
  document result;
  for (int i = 0; i < kServices; ++i) {
    result.mServices[{ "service-" + std::to_string(i) }] = {};
  }
  std::size_t count = aMembers * aDomains * kUpstreamsPerMember;
  for (std::size_t i = 0; i < count; ++i) {
    upstream_spec one;
    one.mService = { "service-" + std::to_string(i % kServices) };
    one.mDomain = MemberOf(0, i / (aMembers * kUpstreamsPerMember)).mDomain;
    one.mSlots = 3;
    one.mConnections = 650;
    result.mUpstreams[{ "report-" + std::to_string(i) }] = one;
  }
  return result;
}

// What a period costs beside heartbeats and claims: admission is set to the
// document and to the homes, three for each instance.
void
MeasureConfigure(std::size_t aMembers, std::size_t aDomains)
{
  document declared = DocumentFor(aMembers, aDomains);
  std::vector<home_claim> homes;
  for (std::size_t i = 0; i < kUpstreamsPerMember; ++i) {
    homes.push_back({ { "report-" + std::to_string(i) }, 0, {} });
  }
  admission configured;
  instant now{ std::chrono::hours(1) };
  constexpr int kPeriods = 50;
  duration begun = CpuTime();
  for (int i = 0; i < kPeriods; ++i) {
    now += membership::kPeriod;
    configured.Configure(declared, homes, now);
  }
  std::printf("upstreams=%zu configure_us=%.1f\n",
              declared.mUpstreams.size(),
              Micros(CpuTime() - begun) / kPeriods);
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

void
MeasureMeshes()
{
  for (bool busy : { false, true }) {
    for (std::size_t members : { 4, 8, 25, 54 }) {
      MeasureMesh({ members, 1, busy });
    }
    for (std::size_t domains : { 2, 4, 8 }) {
      MeasureMesh({ 54, domains, busy });
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc < 2 || std::string_view(argv[1]) != "--homes") {
    MeasureMeshes();
  }
  for (std::size_t members : { 8, 25, 54 }) {
    MeasureConfigure(members, 8);
  }
  for (double load : { 0.5, 0.7, 0.95 }) {
    CompareRouting(load);
  }
  return 0;
}
