// Figures of the whole path, from real processes on loopback.
//
// Usage: measure [--stops N] [PART...]
//   latency  added latency against going straight to the upstream
//   memory   the daemon's memory while 100 callers stream 50 MB each
//   force    time until a new version is in force in every instance
//   leaving  work begun at an upstream after it began to leave
//   stops    N planned stops under load; default 100
// Without a part, every part runs. Ends non-zero where a count that must be 0
// was not, never for a time.
#include "laburnumdyke/testing/harness/http_call.h"
#include "laburnumdyke/testing/harness/planned_stops.h"
#include "laburnumdyke/testing/harness/scenario.h"
#include "laburnumdyke/testing/harness/upstream_count.h"
#include "laburnumdyke/testing/harness/version_watch.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <thread>

namespace {

using namespace laburnumdyke;

using micros = std::chrono::microseconds;

// One connection that is kept open for requests one after the other.
class kept_connection
{
public:
  explicit kept_connection(const endpoint& aTo)
    : mTo(aTo)
    , mStream(mContext)
  {
    mStream.connect(ToAsio(aTo), mFailure);
    mStream.socket().set_option(tcp::no_delay(true), mFailure);
  }

  // Time until the whole answer has arrived; nothing where it failed.
  std::optional<micros> Get(const std::string& aTarget)
  {
    std::chrono::steady_clock::time_point began =
      std::chrono::steady_clock::now();
    http::request<http::empty_body> request(http::verb::get, aTarget, 11);
    request.set(http::field::host, mTo.Text());
    http::write(mStream, request, mFailure);
    http::response<http::string_body> answer;
    http::read(mStream, mBuffer, answer, mFailure);
    if (mFailure || answer.result() != http::status::ok) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<micros>(std::chrono::steady_clock::now() -
                                              began);
  }

private:
  endpoint mTo;
  asio::io_context mContext;
  tcp_stream mStream;
  beast::flat_buffer mBuffer;
  error_code mFailure;
};

micros
Quantile(std::vector<micros> aTimes, double aQuantile)
{
  if (aTimes.empty()) {
    return micros(0);
  }
  std::sort(aTimes.begin(), aTimes.end());
  return aTimes[static_cast<std::size_t>(
    aQuantile * static_cast<double>(aTimes.size() - 1))];
}

// One daemon, and an upstream of each service in its failure domain and in
// another one.
void
PlanOneDaemon(deployment& aDeployment, unsigned aSlots)
{
  aDeployment.AddDomain("leinster-a", "leinster");
  aDeployment.AddDomain("munster-a", "munster");
  for (const std::string service : { "booking", "job-sheet", "report" }) {
    aDeployment.AddUpstream({ service + "-1", service, "leinster-a", aSlots });
    aDeployment.AddUpstream({ service + "-2", service, "munster-a", aSlots });
  }
  aDeployment.AddDaemon("leinster-a-1", "leinster-a");
}

// The head of the two domains with room for aCap requests in a region.
std::string
HeadWithCap(unsigned aCap)
{
  std::string head = TwoDomainHead();
  std::string from = "cap = 18";
  for (std::size_t at = head.find(from); at != std::string::npos;
       at = head.find(from)) {
    head.replace(at, from.size(), "cap = " + std::to_string(aCap));
  }
  return head;
}

constexpr int kFailed = 1;

int
MeasureLatency()
{
  constexpr std::size_t kWarm = 200;
  constexpr std::size_t kRounds = 3000;
  deployment deployed;
  PlanOneDaemon(deployed, 3);
  deployed.Start(HeadWithCap(9));
  deployed.WaitForHomes(kEventLimit);
  kept_connection straight(deployed.UpstreamAddress("job-sheet-1"));
  kept_connection steered(deployed.Addresses("leinster-a-1").mCaller);
  std::vector<micros> direct;
  std::vector<micros> through;
  std::size_t failed = 0;
  // In turns, so that both see the same load of the machine.
  for (std::size_t i = 0; i < kWarm + kRounds; ++i) {
    std::optional<micros> one = straight.Get("/work?ms=0&bytes=1000");
    std::optional<micros> other =
      steered.Get("/v1/request/job-sheet/work?ms=0&bytes=1000");
    failed += one && other ? 0 : 1;
    if (i >= kWarm && one && other) {
      direct.push_back(*one);
      through.push_back(*other);
    }
  }
  std::printf("latency: %zu requests each way, %zu failed\n", kRounds, failed);
  for (double quantile : { 0.5, 0.99 }) {
    micros near = Quantile(direct, quantile);
    micros far = Quantile(through, quantile);
    std::printf("  quantile %.2f: straight %lld us, through the daemon %lld "
                "us, ratio %.2f, added %lld us\n",
                quantile,
                static_cast<long long>(near.count()),
                static_cast<long long>(far.count()),
                static_cast<double>(far.count()) /
                  static_cast<double>(std::max<std::int64_t>(1, near.count())),
                static_cast<long long>((far - near).count()));
  }
  return failed == 0 ? 0 : kFailed;
}

// A line of /proc/PID/status, in kB.
std::uint64_t
StatusLine(pid_t aPid, const std::string& aKey)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(aKey + ":", 0) == 0) {
      return std::strtoull(line.c_str() + aKey.size() + 1, nullptr, 10);
    }
  }
  return 0;
}

// Reads one answer of aBytes at a limited pace; true where it came whole.
bool
StreamOne(const endpoint& aTo, std::uint64_t aBytes)
{
  constexpr std::size_t kPiece = 262144;
  constexpr std::chrono::milliseconds kPause{ 10 };
  asio::io_context context;
  tcp::socket socket(context);
  error_code failure;
  socket.connect(ToAsio(aTo), failure);
  std::string request =
    "GET /v1/request/report/work?ms=0&bytes=" + std::to_string(aBytes) +
    " HTTP/1.1\r\nHost: " + aTo.Text() + "\r\n" + std::string(kDeadlineHeader) +
    ": 300000\r\nConnection: close\r\n\r\n";
  asio::write(socket, asio::buffer(request), failure);
  std::vector<char> piece(kPiece);
  std::uint64_t received = 0;
  std::string head;
  while (!failure) {
    std::size_t count = socket.read_some(asio::buffer(piece), failure);
    received += count;
    if (head.size() < kHeaderLimit) {
      head.append(piece.data(), std::min<std::size_t>(count, 1024));
    }
    std::this_thread::sleep_for(kPause);
  }
  std::size_t headBytes = head.find("\r\n\r\n") + 4;
  return head.rfind("HTTP/1.1 200", 0) == 0 && received == headBytes + aBytes;
}

int
MeasureMemory()
{
  constexpr std::size_t kCallers = 100;
  constexpr std::uint64_t kBytes = 50'000'000;
  constexpr std::chrono::milliseconds kSample{ 100 };
  deployment deployed;
  // Room beside what other ranks keep for themselves.
  constexpr unsigned kSlots = 4 * kCallers;
  PlanOneDaemon(deployed, kSlots);
  // Time for 5 GB through one daemon on a busy machine.
  std::string head = HeadWithCap(3 * kSlots);
  const std::string deadline = "deadline = 10s";
  head.replace(head.find(deadline), deadline.size(), "deadline = 45s");
  deployed.Start(head);
  deployed.WaitForHomes(kEventLimit);
  // The upstream's ramp from cold.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  pid_t pid = deployed.Daemon("leinster-a-1").Pid();
  std::uint64_t idle = StatusLine(pid, "VmRSS");
  std::atomic<std::size_t> whole{ 0 };
  std::atomic<std::size_t> ended{ 0 };
  std::vector<std::thread> callers;
  const endpoint& caller = deployed.Addresses("leinster-a-1").mCaller;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&]() {
      whole += StreamOne(caller, kBytes) ? 1 : 0;
      ++ended;
    });
  }
  std::uint64_t highest = 0;
  std::uint64_t inFlight = 0;
  while (ended < kCallers) {
    highest = std::max(highest, StatusLine(pid, "VmRSS"));
    inFlight = std::max(
      inFlight,
      JsonNumber(JsonObject(deployed.Status("leinster-a-1")), "in_flight"));
    std::this_thread::sleep_for(kSample);
  }
  for (std::thread& one : callers) {
    one.join();
  }
  std::printf("memory: VmRSS idle %llu kB; %zu callers of %llu bytes: highest "
              "VmRSS %llu kB, VmHWM %llu kB, most in flight %llu, whole "
              "answers %zu\n",
              static_cast<unsigned long long>(idle),
              kCallers,
              static_cast<unsigned long long>(kBytes),
              static_cast<unsigned long long>(highest),
              static_cast<unsigned long long>(StatusLine(pid, "VmHWM")),
              static_cast<unsigned long long>(inFlight),
              whole.load());
  return whole == kCallers ? 0 : kFailed;
}

int
MeasureForce()
{
  constexpr std::uint64_t kVersions = 20;
  deployment deployed;
  PlanTwoDomains(deployed, 3);
  StartTwoDomains(deployed);
  version_watch watch(deployed);
  std::vector<std::chrono::milliseconds> times;
  bool everywhere = true;
  for (std::uint64_t version = 2; version <= kVersions + 1; ++version) {
    std::string leaving = version % 2 == 0 ? "report-munster-a-1" : "";
    everywhere &= deployed.Submit(version, deployed.Document({ leaving }));
    spreading spread =
      WaitInForce(deployed, deployed.DaemonNames(), version, kEventLimit);
    everywhere &= spread.mEverywhere;
    times.push_back(spread.mWorst);
  }
  watch.Stop();
  std::sort(times.begin(), times.end());
  std::printf("in force at every of 6 instances, %zu versions: median %lld ms, "
              "worst %lld ms; versions that went back %zu of %llu readings\n",
              times.size(),
              static_cast<long long>(times[times.size() / 2].count()),
              static_cast<long long>(times.back().count()),
              watch.Decreases().size(),
              static_cast<unsigned long long>(watch.Readings()));
  return everywhere && watch.Decreases().empty() ? 0 : kFailed;
}

// The last new work at an upstream, counted from the sign that it leaves.
std::chrono::milliseconds
LastNewWork(const deployment& aDeployment,
            const std::string& aName,
            std::chrono::steady_clock::time_point aSign)
{
  constexpr std::chrono::seconds kWatched{ 8 };
  std::this_thread::sleep_for(kWatched);
  boost::json::object control =
    JsonObject(GetText(aDeployment.UpstreamAddress(aName), "/control"));
  std::chrono::milliseconds age(JsonNumber(control, "last_run_age_ms"));
  std::chrono::milliseconds passed =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - aSign);
  return std::max(std::chrono::milliseconds(0), passed - age);
}

int
MeasureLeaving()
{
  constexpr std::chrono::milliseconds kLimit{ 3000 };
  deployment deployed;
  PlanTwoDomains(deployed, 2);
  StartTwoDomains(deployed);
  background_load load(CallerAddresses(deployed), 21);
  AddThreeRanks(load.Callers());
  load.Start();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::chrono::milliseconds worst{ 0 };
  std::vector<std::string> leaving;
  for (const char* name : { "job-sheet-leinster-a-1",
                            "booking-munster-a-1",
                            "report-munster-a-2" }) {
    leaving.emplace_back(name);
    std::chrono::steady_clock::time_point sign =
      std::chrono::steady_clock::now();
    deployed.Submit(leaving.size() + 1, deployed.Document(leaving));
    std::chrono::milliseconds last = LastNewWork(deployed, name, sign);
    std::printf("leaving by the document: %s, last new work after %lld ms\n",
                name,
                static_cast<long long>(last.count()));
    worst = std::max(worst, last);
  }
  load.Stop();
  return worst <= kLimit ? 0 : kFailed;
}

int
MeasureStops(std::size_t aStops)
{
  stop_report report = RunPlannedStops(aStops, 31);
  PrintStops(report);
  bool kept = report.mStarted && report.mStops >= aStops &&
              report.mBadStatus == 0 && report.mCut == 0 &&
              report.mWrong == 0 && report.mRunTwice == 0 &&
              report.mFalseNotRun == 0 && report.mOvershot == 0;
  return kept ? 0 : kFailed;
}

struct part
{
  std::string_view mName;
  std::function<int()> mRun;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kUsage = 2;
  std::size_t stops = 100;
  const option longOptions[] = {
    { "stops", required_argument, nullptr, 's' },
    { nullptr, 0, nullptr, 0 },
  };
  int letter = 0;
  while ((letter = getopt_long(
            aCount, aArguments, "s:", longOptions, nullptr)) != -1) {
    const char* end =
      optarg == nullptr ? nullptr : optarg + std::strlen(optarg);
    if (letter != 's' || std::from_chars(optarg, end, stops).ptr != end) {
      std::fprintf(stderr, "Usage: measure [--stops N] [PART...]\n");
      return kUsage;
    }
  }
  const std::array<part, 5> parts = { {
    { "latency", MeasureLatency },
    { "memory", MeasureMemory },
    { "force", MeasureForce },
    { "leaving", MeasureLeaving },
    { "stops", [&]() { return MeasureStops(stops); } },
  } };
  std::vector<std::string> asked(aArguments + optind, aArguments + aCount);
  int status = 0;
  for (const part& one : parts) {
    bool wanted =
      asked.empty() ||
      std::find(asked.begin(), asked.end(), one.mName) != asked.end();
    status = wanted ? std::max(status, one.mRun()) : status;
    std::fflush(stdout);
  }
  return status;
}
