// Documents: parsing, validation, canonical text, content hash and difference.
#include "laburnumdyke/decision/document_difference.h"

#include <algorithm>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

std::string
Upstreams(const std::string& aService, int aCount, int aFirstPort)
{
  static const std::vector<std::string> kDomains = {
    "leinster-a", "leinster-b", "munster-a",
    "munster-b",  "connacht-a", "connacht-b"
  };
  std::string text;
  for (int i = 0; i < aCount; ++i) {
    text += "[upstream " + aService + "-" + std::to_string(i + 1) + "]\n";
    text += "service = " + aService + "\n";
    text += "failure_domain = " + kDomains.at(i % kDomains.size()) + "\n";
    text += "address = 10.9.0.1:" + std::to_string(aFirstPort + i) + "\n";
    text += "slots = 3\nconnections = 650\n";
  }
  return text;
}

// As large as the benchmarks' deployment "brackwater": 3 regions of 2 failure
// domains, with 40 upstreams.
std::string
Sample()
{
  std::string text;
  for (std::string region : { "leinster", "munster", "connacht" }) {
    text += "[region " + region + "]\ncap = 36\n";
    for (std::string letter : { "a", "b" }) {
      text.append("[failure_domain ").append(region).append("-");
      text.append(letter).append("]\nregion = ").append(region).append("\n");
    }
  }
  text += "[service booking]\nrank = urgent\nidempotent = no\n"
          "[service job-sheet]\nrank = standard\n"
          "[service report]\nrank = bulk\ndeadline = 60s\n";
  text += Upstreams("booking", 12, 9001);
  text += Upstreams("job-sheet", 16, 9101);
  text += Upstreams("report", 12, 9201);
  text += "[rank urgent]\nfloor = 50\n[rank standard]\nfloor = 30\n"
          "[rank bulk]\nfloor = 10\nqueue = 16\n"
          "[link leinster-munster]\nbetween = munster, leinster\nrate = 300\n"
          "[link leinster-connacht]\nbetween = leinster, connacht\nrate = 300\n"
          "[link munster-connacht]\nbetween = munster,connacht\nrate = 300\n"
          "[shift 2026-report-move]\nservice = report\nfrom = leinster\n"
          "to = munster\nshare = 50\ncap = 5\nstart = 2026-12-04T11:00:00Z\n"
          "[blocks]\nleinster-a = 10.0.0.0/24, 2001:db8::/32\n"
          "leinster-b = 10.0.1.0/24\nleinster-a = 10.0.2.0/23\n";
  return text;
}

std::string
Describe(const document_result& aResult)
{
  std::string text;
  for (const text_fault& fault : aResult.mFaults) {
    text += fault.Describe("d") + "\n";
  }
  return text;
}

} // namespace

namespace {

// Returns the sample with the first occurrence of aFrom replaced.
std::string
SampleReplacing(std::string_view aFrom, std::string_view aTo)
{
  std::string text = Sample();
  std::size_t found = text.find(aFrom);
  CHECK(found != std::string::npos);
  return text.replace(found, aFrom.size(), aTo);
}

std::size_t
LineOf(const std::string& aText, std::string_view aPart)
{
  std::size_t found = aText.find(aPart);
  CHECK(found != std::string::npos);
  return 1 + std::count(aText.begin(),
                        aText.begin() + static_cast<std::ptrdiff_t>(found),
                        '\n');
}

// A change of the sample and the fault that the parser must report for it.
struct fault_row
{
  std::string_view mFrom;
  std::string_view mTo;
  std::string_view mField;    // of the fault
  std::string_view mExpected; // part of the fault's message
  std::string_view mLine;     // a text on the fault's line; empty: any line
};

const fault_row kFaultRows[] = {
  // Syntax, ranges and units.
  { "cap = 36", "cap = 0", "region leinster.cap", "1 to 10000000", "cap = 0" },
  { "cap = 36", "cap = -1", "region leinster.cap", "1 to", "cap = -1" },
  { "cap = 36", "cap = 36x", "region leinster.cap", "1 to", "cap = 36x" },
  { "cap = 36",
    "cap = 99999999999999999999",
    "region leinster.cap",
    "1 to",
    "cap = 999" },
  { "cap = 36", "colour = red", "region leinster.colour", "known key", "red" },
  { "cap = 36",
    "cap = 36\ncap = 35",
    "region leinster.cap",
    "only once",
    "cap = 35" },
  { "cap = 36", "cap", "", "key = value", "cap\n" },
  { "[rank urgent]", "[rang urgent]", "rang urgent.floor", "section", "floor" },
  { "[rank urgent]", "[rank top]", "rank top.floor", "[rank bulk]", "floor" },
  { "[region munster]\ncap = 36",
    "[region Munster]\ncap = 36",
    "region Munster.cap",
    "lower-case",
    "cap = 36\n[failure_domain munster-a]" },
  { "deadline = 60s",
    "deadline = 60",
    "service report.deadline",
    "ms, s",
    "60" },
  { "deadline = 60s",
    "deadline = 61m",
    "service report.deadline",
    "60m",
    "61m" },
  { "deadline = 60s", "deadline = 1h", "service report.deadline", "60m", "1h" },
  { "idempotent = no",
    "idempotent = 0",
    "service booking.idempotent",
    "yes",
    "" },
  { "rank = urgent", "rank = first", "service booking.rank", "urgent", "" },
  { "slots = 3",
    "slots = 0",
    "upstream booking-1.slots",
    "100000",
    "slots = 0" },
  { "slots = 3\n",
    "",
    "upstream booking-1.slots",
    "missing",
    "service = booking" },
  { "10.9.0.1:9001", "db1:9001", "upstream booking-1.address", "IP", "db1" },
  { "10.9.0.1:9001", "10.9.0.1:0", "upstream booking-1.address", "IP", "1:0" },
  { "connections = 650",
    "connections = 650\nstate = gone",
    "upstream booking-1.state",
    "serving or leaving",
    "gone" },
  { "floor = 50",
    "floor = 101",
    "rank urgent.floor",
    "0 to 100",
    "floor = 101" },
  { "queue = 16", "queue = 65537", "rank bulk.queue", "65536", "65537" },
  { "rate = 300",
    "rate = 300M",
    "link leinster-munster.rate",
    "Mbit/s",
    "300M" },
  { "munster, leinster",
    "munster",
    "link leinster-munster.between",
    "two",
    "" },
  { "munster, leinster",
    "munster, munster",
    "link leinster-munster.between",
    "different",
    "munster, munster" },
  { "share = 50", "share = 0", "shift 2026-report-move.share", "1 to 100", "" },
  { "cap = 5\n",
    "cap = 101\n",
    "shift 2026-report-move.cap",
    "1 to 100",
    "cap = 101" },
  { "2026-12-04T11:00:00Z",
    "2026-02-30T11:00:00Z",
    "shift 2026-report-move.start",
    "UTC",
    "02-30" },
  { "2026-12-04T11:00:00Z",
    "2026-12-04 11:00",
    "shift 2026-report-move.start",
    "UTC",
    "12-04 11" },
  { "10.0.1.0/24",
    "10.0.1.1/24",
    "blocks.leinster-b",
    "10.0.1.1/24",
    "1.1/24" },
  { "10.0.1.0/24", "10.0.1.0/33", "blocks.leinster-b", "10.0.1.0/33", "/33" },
  { "10.0.1.0/24",
    "10.0.1.0",
    "blocks.leinster-b",
    "prefixes",
    "leinster-b =" },
  { "10.0.1.0/24", "10.0.1.0/24,", "blocks.leinster-b", "prefixes", "0/24,\n" },
  { "10.0.1.0/24",
    "::ffff:10.0.0.0/120",
    "blocks.leinster-b",
    "10.0.0.0/24 only once",
    "::ffff" },
  { "[rank urgent]",
    "[rank bulk]\n[rank urgent]",
    "",
    "a key in the section",
    "[rank bulk]\n[rank urgent]" },
  { "[rank urgent]",
    "[failure_domain a-name-that-is-longer-than-the-reader-takes]",
    "",
    "at most 49 bytes",
    "[failure_domain a-name" },
  { "queue = 16", "\vqueue = 16", "", "begin with a blank", "\vqueue" },
  { "queue = 16", "queue ; = 16", "", "key = value", "queue ;" },
  { "queue = 16", "queue = 16\n[rank ; urgent]", "", "[section]", "[rank ; " },
  // References and unreferenced sections.
  { "region = munster\n",
    "region = ulster\n",
    "failure_domain munster-a.region",
    "\"ulster\"",
    "region = ulster" },
  { "service = booking\n",
    "service = boking\n",
    "upstream booking-1.service",
    "\"boking\"",
    "boking" },
  { "failure_domain = munster-a\n",
    "failure_domain = munster-c\n",
    "upstream booking-3.failure_domain",
    "\"munster-c\"",
    "munster-c" },
  { "10.9.0.1:9002",
    "10.9.0.1:9001",
    "upstream booking-2.address",
    "1:9001",
    "" },
  { "munster, leinster",
    "munster, ulster",
    "link leinster-munster.between",
    "\"ulster\"",
    "ulster" },
  { "between = leinster, connacht",
    "between = leinster, munster",
    "link leinster-munster.between",
    "no other link",
    "between = munster, leinster" },
  { "to = munster", "to = leinster", "shift 2026-report-move.to", "other", "" },
  { "to = munster", "to = ulster", "shift 2026-report-move.to", "ulster", "" },
  { "leinster-b = 10.0", "leinster-c = 10.0", "blocks.leinster-c", "\"le", "" },
  { "[rank urgent]",
    "[region ulster]\ncap = 1\n[rank urgent]",
    "region ulster",
    "a failure domain in the region",
    "cap = 1\n[rank" },
  { "[rank urgent]",
    "[service quote]\nrank = bulk\n[rank urgent]",
    "service quote",
    "an upstream of the service",
    "rank = bulk\n[rank" },
  // Limits over several fields.
  { "slots = 3",
    "slots = 651",
    "upstream booking-1.connections",
    "651 slots instead of 650",
    "connections = 650" },
  { "floor = 30",
    "floor = 41",
    "rank bulk.floor",
    "instead of 101",
    "floor = 10" },
  { "cap = 36",
    "cap = 46",
    "region leinster.cap",
    "at most the 42 slots",
    "46" },
  { "[blocks]",
    "[shift more]\nservice = report\nfrom = leinster\nto = "
    "connacht\n"
    "share = 51\ncap = 1\nstart = 2026-12-04T11:00:00Z\n[blocks]",
    "shift more.share",
    "instead of 101",
    "share = 51" },
};

} // namespace

TEST_GROUP(Document){};

TEST(Document, ReadsTheSample)
{
  document_result result = ParseDocument(Sample());
  CHECK_EQUAL(std::string(), Describe(result));
  CHECK_EQUAL(40u, result.mDocument->mUpstreams.size());
  CHECK_EQUAL(3u,
              result.mDocument->mBlocks.at({ "leinster-a" }).Items().size());
}

TEST(Document, CanonicalTextReadsBackAsTheSameDocument)
{
  document_result first = ParseDocument(Sample());
  CHECK(first.mDocument.has_value());
  std::string text = RenderDocument(*first.mDocument);
  document_result second = ParseDocument(text);
  CHECK_EQUAL(std::string(), Describe(second));
  CHECK(*first.mDocument == *second.mDocument);
  CHECK_EQUAL(text, RenderDocument(*second.mDocument));
}

TEST(Document, HashIsSha256)
{
  CHECK_EQUAL(
    std::string(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
    ContentHash("abc"));
}

TEST(Document, EachFaultIsRefusedWithItsFieldAndLine)
{
  std::string mismatches;
  for (const fault_row& row : kFaultRows) {
    std::string text = SampleReplacing(row.mFrom, row.mTo);
    document_result result = ParseDocument(text);
    bool found = false;
    for (const text_fault& fault : result.mFaults) {
      bool same = fault.mField == row.mField &&
                  fault.mExpected.find(row.mExpected) != std::string::npos &&
                  (row.mLine.empty() || fault.mLine == LineOf(text, row.mLine));
      found = found || same;
    }
    if (!found || result.mDocument) {
      mismatches += "for " + std::string(row.mTo) + ":\n" + Describe(result);
    }
  }
  CHECK_EQUAL(std::string(), mismatches);
}

TEST(Document, ReportsAllFaultsAtOnceInOrderOfLines)
{
  std::string text = SampleReplacing("region = munster\n", "region = ulster\n");
  text.replace(text.find("cap = 36"), 8, "cap = 36 Mbit");
  text.replace(text.find("share = 50"), 10, "share = 500");
  text += "nonsense\n";
  document_result result = ParseDocument(text);
  CHECK(!result.mDocument.has_value());
  CHECK_EQUAL(4u, result.mFaults.size());
  CHECK_EQUAL(std::string("region leinster.cap"), result.mFaults[0].mField);
  CHECK_EQUAL(std::string("failure_domain munster-a.region"),
              result.mFaults[1].mField);
  CHECK_EQUAL(std::string("shift 2026-report-move.share"),
              result.mFaults[2].mField);
  CHECK_EQUAL(std::string(), result.mFaults[3].mField);
}

TEST(Document, RefusesAnEmptyText)
{
  CHECK_EQUAL(2u, ParseDocument("").mFaults.size());
}

TEST(Document, RefusesARegionThatReachesNoServingUpstream)
{
  document unserved = *ParseDocument(Sample()).mDocument;
  for (upstream_map::value_type& entry : unserved.mUpstreams) {
    if (entry.second.mService.mValue == "booking") {
      entry.second.mState = upstream_state::Leaving;
    }
  }
  std::string faults = Describe(ParseDocument(RenderDocument(unserved)));
  CHECK(faults.find("upstream booking-1.state: expected a serving upstream of "
                    "booking within reach of region munster (0 of 36 slots") !=
        std::string::npos);
  unserved.mUpstreams.at({ "booking-1" }).mState = upstream_state::Serving;
  CHECK_EQUAL(std::string(), Describe(ParseDocument(RenderDocument(unserved))));
}

TEST(Document, RegionsWithoutALinkDoNotServeEachOther)
{
  document unlinked = *ParseDocument(Sample()).mDocument;
  for (upstream_map::value_type& entry : unlinked.mUpstreams) {
    if (entry.second.mService.mValue == "report" &&
        unlinked.RegionOf(entry.second.mDomain)->mValue != "leinster") {
      entry.second.mState = upstream_state::Leaving;
    }
  }
  unlinked.mShifts.clear();
  CHECK_EQUAL(std::string(), Describe(ParseDocument(RenderDocument(unlinked))));
  unlinked.mLinks.erase("leinster-munster");
  std::string faults = Describe(ParseDocument(RenderDocument(unlinked)));
  CHECK(faults.find("within reach of region munster (0 of 24 slots") !=
        std::string::npos);
}

TEST(Document, RefusesAShiftAboveTheTargetsCapacity)
{
  document nearCapacity = *ParseDocument(Sample()).mDocument;
  shift_spec& shift = nearCapacity.mShifts.at("2026-report-move");
  shift.mSharePercent = 100;
  nearCapacity.mRegions.at({ "munster" }).mCap = 24; // 12 of its own, 12 moved
  CHECK_EQUAL(std::string(),
              Describe(ParseDocument(RenderDocument(nearCapacity))));
  nearCapacity.mRegions.at({ "munster" }).mCap = 23;
  CHECK(Describe(ParseDocument(RenderDocument(nearCapacity)))
          .find("the cap of region munster, 23 requests in flight, instead of "
                "12 moved above its own 12 of report") != std::string::npos);
  nearCapacity.mRegions.at({ "munster" }).mCap = 36;
  nearCapacity.mUpstreams.at({ "report-3" }).mState = upstream_state::Leaving;
  CHECK(Describe(ParseDocument(RenderDocument(nearCapacity)))
          .find("at most the 9 serving slots of report in region munster "
                "instead of the 12") != std::string::npos);
}

TEST(Document, OrderAndSpacingDoNotChangeTheCanonicalText)
{
  std::string other =
    SampleReplacing("cap = 36", "cap=36 ; the whole region\r");
  std::size_t blocks = other.find("[blocks]");
  other = other.substr(blocks) + "# end\n\n" + other.substr(0, blocks);
  CHECK_EQUAL(RenderDocument(*ParseDocument(Sample()).mDocument),
              RenderDocument(*ParseDocument(other).mDocument));
}

TEST(Document, ManyBlocksRoundTripWithinTheLineLimit)
{
  document large = *ParseDocument(Sample()).mDocument;
  block_list::container& list = large.mBlocks.at({ "leinster-a" }).Edit();
  for (std::uint32_t i = 0; i < 5000; ++i) {
    std::string hex = "2001:db9:" + std::to_string(i % 100) + ":" +
                      std::to_string(i / 100) + ":ffff:ffff:ffff:fff0/124";
    list.push_back(*ParsePrefix(hex));
  }
  std::sort(list.begin(), list.end());
  document_result result = ParseDocument(RenderDocument(large));
  CHECK_EQUAL(std::string(), Describe(result));
  CHECK(*result.mDocument == large);
}

TEST_GROUP(Prefix){};

TEST(Prefix, ReadsAndRendersCanonically)
{
  struct row
  {
    std::string_view mText;
    std::string_view mCanonical; // empty: refused
  };
  const row kRows[] = {
    { "10.0.0.0/8", "10.0.0.0/8" },
    { "0.0.0.0/0", "0.0.0.0/0" },
    { "192.0.2.1/32", "192.0.2.1/32" },
    { "::/0", "::/0" },
    { "2001:DB8:0:0::/32", "2001:db8::/32" },
    { "::ffff:10.0.0.0/104", "10.0.0.0/8" },
    { "10.0.0.1/8", "" },
    { "10.0.0.0/33", "" },
    { "2001:db8::/129", "" },
    { "2001:db8::1/64", "" },
    { "10.0.0/8", "" },
    { "10.0.0.0", "" },
    { "10.0.0.0/", "" },
    { "10.0.0.0/-1", "" },
    { "10.0.0.0/8x", "" },
    { "/8", "" },
    { "", "" },
  };
  for (const row& each : kRows) {
    std::optional<client_prefix> prefix = ParsePrefix(each.mText);
    CHECK_EQUAL(std::string(each.mCanonical),
                prefix ? prefix->Text() : std::string());
  }
}

TEST_GROUP(DocumentDifference){};

TEST(DocumentDifference, ShowsOnlyWhatDiffers)
{
  document before = *ParseDocument(Sample()).mDocument;
  CHECK(Difference(before, before).empty());
  document after = before;
  after.mUpstreams.at({ "booking-1" }).mState = upstream_state::Leaving;
  after.mRanks[0].mQueue = 65;
  after.mShifts.clear();
  after.mLinks["spare"] = { { "a" }, { "b" }, 10 };
  after.mBlocks.at({ "leinster-a" }).Edit().pop_back();
  after.mBlocks[{ "munster-a" }] = { *ParsePrefix("2001:db8::/32"),
                                     *ParsePrefix("2001:db9::/32") };
  CHECK_EQUAL(
    std::string("upstream booking-1: state: serving -> leaving\n"
                "link spare: between: (none) -> a, b\n"
                "link spare: rate: (none) -> 10\n"
                "shift 2026-report-move: service: report -> (none)\n"
                "shift 2026-report-move: from: leinster -> (none)\n"
                "shift 2026-report-move: to: munster -> (none)\n"
                "shift 2026-report-move: share: 50 -> (none)\n"
                "shift 2026-report-move: cap: 5 -> (none)\n"
                "shift 2026-report-move: start: 2026-12-04T11:00:00Z -> "
                "(none)\n"
                "rank urgent: queue: 64 -> 65\n"
                "blocks: 2001:db8::/32: leinster-a -> munster-a\n"
                "blocks: 2001:db9::/32: (none) -> munster-a\n"),
    RenderDifference(Difference(before, after)));
}

TEST_GROUP(DocumentFuzz)
{
  std::mt19937_64 mRandom{ 20261204 };

  std::size_t RandomBelow(std::size_t aBound)
  {
    return static_cast<std::size_t>(mRandom() % aBound);
  }

  std::string Mutated(std::string aText)
  {
    for (std::size_t change = 0; change <= RandomBelow(3); ++change) {
      std::size_t at = RandomBelow(aText.size());
      std::size_t start = aText.rfind('\n', at);
      start = start == std::string::npos ? 0 : start + 1;
      std::string line =
        aText.substr(start, aText.find('\n', start) + 1 - start);
      switch (RandomBelow(6)) {
        case 0:
          aText.erase(start, line.size());
          break;
        case 1:
          aText.insert(start, line);
          break;
        case 2:
          aText.erase(start, line.size());
          aText.insert(RandomBelow(aText.size()), line);
          break;
        case 3:
          aText[at] = static_cast<char>(mRandom());
          break;
        case 4:
          aText.erase(at, 1 + RandomBelow(4));
          break;
        default:
          aText.insert(at, 1, "\n=[];,:\t 09\0"[RandomBelow(12)]);
          break;
      }
    }
    return aText;
  }

  // Checks that an accepted text survives rendering and parsing. Returns
  // whether the text was accepted.
  bool CheckRoundTrip(const std::string& aText)
  {
    document_result result = ParseDocument(aText);
    CHECK_EQUAL(result.mFaults.empty(), result.mDocument.has_value());
    if (!result.mDocument) {
      return false;
    }
    std::string canonical = RenderDocument(*result.mDocument);
    document_result again = ParseDocument(canonical);
    CHECK_EQUAL(std::string(), Describe(again));
    CHECK(*again.mDocument == *result.mDocument);
    CHECK_EQUAL(canonical, RenderDocument(*again.mDocument));
    return true;
  }
};

TEST(DocumentFuzz, RandomBytesAreRefused)
{
  for (int round = 0; round < 2000; ++round) {
    std::string text(RandomBelow(400), '\0');
    for (char& byte : text) {
      byte = RandomBelow(2) == 0 ? static_cast<char>(mRandom())
                                 : "[]=;#,: \n\rregioncap0123"[RandomBelow(22)];
    }
    CHECK(!CheckRoundTrip(text));
  }
}

TEST(DocumentFuzz, MutatedTextsRoundTripOrAreRefused)
{
  const std::string sample = Sample();
  int accepted = 0;
  for (int round = 0; round < 2000; ++round) {
    accepted += CheckRoundTrip(Mutated(sample)) ? 1 : 0;
  }
  CHECK(accepted > 0);
  CHECK(accepted < 2000);
}

// The sample without any one of its lines must be another document or refused.
TEST(DocumentFuzz, NoLineIsIgnored)
{
  const std::string sample = Sample();
  const document whole = *ParseDocument(sample).mDocument;
  std::size_t start = 0;
  while (start < sample.size()) {
    std::size_t length = sample.find('\n', start) + 1 - start;
    std::string without = sample;
    without.erase(start, length);
    document_result result = ParseDocument(without);
    CHECK_TEXT(!result.mDocument || *result.mDocument != whole,
               sample.substr(start, length).c_str());
    start += length;
  }
}
