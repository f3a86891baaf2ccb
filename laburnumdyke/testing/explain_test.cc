// laburnumctl explain: parsing of log lines and the trace of a request.
#include "ctl/explain.h"
#include "laburnumdyke/kernel/event_log.h"

#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

// Excerpt of a daemon's log during a load burst.
constexpr std::string_view kConnachtLog =
  "time=2026-03-27T17:53:04.002 level=INFO event=started "
  "instance=connacht-b-1 version=0.1.0\n"
  "time=2026-03-27T17:53:04.634 level=INFO event=configuration_in_force "
  "instance=connacht-b-1 version=3 routes=21\n"
  "time=2026-03-27T17:53:06.349 level=INFO event=upstream_changed "
  "instance=connacht-b-1 upstream=i-d4d9 change=joined service=gozi3b "
  "failure_domain=connacht-b draining=no cold_left_ms=0\n"
  "time=2026-03-27T17:53:06.350 level=INFO event=upstream_changed "
  "instance=connacht-b-1 upstream=i-ffff change=joined service=gozi3b "
  "failure_domain=connacht-b draining=no cold_left_ms=0\n"
  "time=2026-03-27T17:53:13.100 level=WARN event=platform_lost "
  "instance=connacht-b-1 reading=upstreams\n"
  "time=2026-03-27T17:53:13.751 level=INFO event=configuration_in_force "
  "instance=connacht-b-1 version=5 routes=21 skipped=12\n"
  "time=2026-03-27T17:53:14.138 level=INFO event=attempt "
  "instance=connacht-b-1 request=ecf4 route=r-ry8fkba upstream=i-d4d9 "
  "failure_domain=connacht-b object=39 load=3,9,3 end=not_run status=503 "
  "expected_wait_ms=372 took_ms=614\n"
  "time=2026-03-27T17:53:15.006 level=INFO event=attempt "
  "instance=connacht-b-1 request=ecf4 route=r-ry8fkba upstream=i-e292 "
  "failure_domain=leinster-a object=39 load=2,0,3 end=answered status=200 "
  "expected_wait_ms=0 took_ms=867\n"
  "time=2026-03-27T17:53:15.100 level=INFO event=attempt "
  "instance=connacht-b-1 request=9999 route=r-ry8fkba upstream=i-e292 "
  "failure_domain=leinster-a object=\"\" load=\"\" end=answered status=200 "
  "expected_wait_ms=0 took_ms=867\n";

constexpr std::string_view kLeinsterLog =
  "time=2026-03-27T17:53:12.038 level=INFO event=request_refused "
  "instance=leinster-a-1 request=ecf4 route=r-mgyna5k status=503 "
  "reason=queue_full sends=0 took_ms=0\n";

request_trace
Build(const std::string& aRequest, const std::vector<std::string_view>& aLogs)
{
  request_trace_builder builder(aRequest);
  for (std::string_view log : aLogs) {
    std::istringstream stream{ std::string(log) };
    builder.Read(stream);
  }
  return builder.Build();
}

std::vector<std::string>
Events(const std::vector<log_line>& aLines)
{
  std::vector<std::string> events;
  for (const log_line& line : aLines) {
    events.push_back(line.mEvent);
  }
  return events;
}

std::string
LineHeader()
{
  return "time=2026-03-27T17:53:04.002 level=INFO event=e instance=i";
}

} // namespace

TEST_GROUP(LogLine){};

TEST(LogLine, IgnoresPrefixAddedByLogCollector)
{
  std::optional<log_line> line = ParseLogLine("  -7.99 host-3 " + LineHeader());
  CHECK(line.has_value());
  STRCMP_EQUAL("e", line->mEvent.c_str());
  STRCMP_EQUAL("i", line->mInstance.c_str());
  STRCMP_EQUAL("2026-03-27T17:53:04.002", FormatLogTime(line->mTime).c_str());
}

TEST(LogLine, RejectsTruncatedAndForeignLines)
{
  const std::vector<std::string> kRows = {
    "",
    "Segmentation fault",
    "time=now level=INFO event=e instance=i",
    "time=2026-13-27T17:53:04.002 level=INFO event=e instance=i",
    "time=2026-03-27T17:53:04.002 level=INFO event=e",
    "time=2026-03-27T17:53:04.002 level=INFO instance=i event=e",
    LineHeader() + " key",
    LineHeader() + " key=\"cut",
    LineHeader() + " key=\"a\"b",
    LineHeader() + " key=\"\\x4\"",
    LineHeader() + " key=\"\\",
    LineHeader() + "  key=1",
  };
  for (const std::string& row : kRows) {
    CHECK_FALSE(ParseLogLine(row).has_value());
  }
}

// Oracle: QuoteLogValue(), which the log writer uses.
TEST(LogLine, QuotedValuesRoundTrip)
{
  std::mt19937_64 random(5);
  for (int i = 0; i < 5000; ++i) {
    std::string value;
    std::size_t size = random() % 12;
    for (std::size_t j = 0; j < size; ++j) {
      value += static_cast<char>(random() % 256);
    }
    std::string text =
      LineHeader() + " a=1 key=" + QuoteLogValue(value) + " z=2";
    std::optional<log_line> line = ParseLogLine(text);
    CHECK(line.has_value());
    CHECK(line->Value("key") == value);
    STRCMP_EQUAL("2", std::string(line->Value("z")).c_str());
    // Truncated or corrupted lines must not crash the parser.
    ParseLogLine(std::string_view(text).substr(0, random() % text.size()));
    text[random() % text.size()] = static_cast<char>(random() % 256);
    ParseLogLine(text);
  }
}

TEST_GROUP(Explain){};

TEST(Explain, StepsAreSortedByTimeAcrossLogs)
{
  request_trace trace = Build("ecf4", { kConnachtLog, kLeinsterLog });
  LONGS_EQUAL(3, trace.mSteps.size());
  STRCMP_EQUAL("leinster-a-1", trace.mSteps[0].mLine.mInstance.c_str());
  STRCMP_EQUAL("not_run",
               std::string(trace.mSteps[1].mLine.Value("end")).c_str());
  STRCMP_EQUAL("answered",
               std::string(trace.mSteps[2].mLine.Value("end")).c_str());
  LONGS_EQUAL(0, trace.mUnreadable);
}

TEST(Explain, ReportsLatestLineOfEachStateKey)
{
  request_trace trace = Build("ecf4", { kConnachtLog });
  const trace_step& first = trace.mSteps.at(0);
  // Without the upstream that was not chosen, and with the last configuration
  // only.
  CHECK((Events(first.mContext) ==
         std::vector<std::string>{ "started",
                                   "upstream_changed",
                                   "platform_lost",
                                   "configuration_in_force" }));
  STRCMP_EQUAL("i-d4d9",
               std::string(first.mContext[1].Value("upstream")).c_str());
  STRCMP_EQUAL("5", std::string(first.mContext[3].Value("version")).c_str());
  CHECK(first.mLine.mTime - first.mContext[3].mTime == 387ms);
}

TEST(Explain, IgnoresContextOfOtherInstances)
{
  request_trace trace = Build("ecf4", { kConnachtLog, kLeinsterLog });
  CHECK(trace.mSteps[0].mContext.empty());
}

TEST(Explain, ReportsSkippedAndUnreadableLines)
{
  std::string log(kConnachtLog);
  log += "time=2026-03-27T17:53:15.006 level=INFO event=att\n\nkilled\n";
  request_trace trace = Build("ecf4", { log });
  LONGS_EQUAL(12, trace.mSkippedLines);
  LONGS_EQUAL(2, trace.mUnreadable);
  trace = Build("ecf4", { kLeinsterLog });
  LONGS_EQUAL(0, trace.mSkippedLines);
  // Without any step, the skipped lines of every instance count.
  trace = Build("0000", { kConnachtLog });
  CHECK(trace.mSteps.empty());
  LONGS_EQUAL(12, trace.mSkippedLines);
}

// The figures that decided a refusal by the quota are in a line of their own.
TEST(Explain, ShowsTheQuotaThatRefusedARequest)
{
  const std::string head = "time=2026-03-27T17:53:1";
  const std::string log =
    head + "0.000 level=INFO event=fleet_usage instance=a-1 state=lost\n" +
    head +
    "2.000 level=INFO event=quota_exceeded instance=a-1 request=ecf4 "
    "customer=acme rate_per_s=10.00 burst=20.00 demand_per_s=52.10 "
    "limit_per_s=3.40 share=0.33\n" +
    head +
    "2.001 level=INFO event=request_refused instance=a-1 request=ecf4 "
    "route=r status=429 reason=quota_exceeded sends=0 took_ms=0\n";
  request_trace trace = Build("ecf4", { log });
  LONGS_EQUAL(2, trace.mSteps.size());
  std::ostringstream text;
  ReportTrace(text, ctl_options(), trace);
  STRCMP_CONTAINS("quota_exceeded request=ecf4 customer=acme rate_per_s=10.00 "
                  "burst=20.00 demand_per_s=52.10 limit_per_s=3.40 share=0.33",
                  text.str().c_str());
  STRCMP_CONTAINS("believed  a-1  fleet_usage state=lost  (2000 ms before)",
                  text.str().c_str());
}

TEST(Explain, PrintsTextAndJson)
{
  request_trace trace = Build("ecf4", { kConnachtLog });
  ctl_options options;
  std::ostringstream text;
  ReportTrace(text, options, trace);
  STRCMP_CONTAINS("  believed  connacht-b-1  configuration_in_force version=5 "
                  "routes=21 skipped=12  (387 ms before)\n"
                  "2026-03-27T17:53:14.138  connacht-b-1  attempt request=ecf4",
                  text.str().c_str());
  options.mJson = true;
  std::ostringstream json;
  ReportTrace(json, options, trace);
  STRCMP_CONTAINS(R"("request":"ecf4","steps":[{"time":)", json.str().c_str());
  STRCMP_CONTAINS(R"("lines_left_out":12)", json.str().c_str());
}
