// The document: reading, checks of the whole, canonical text and hash.
#include "laburnumdyke/decision/document.h"

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

// Brackwater's sizes.
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

TEST_GROUP(Document){};

TEST(Document, ReadsTheSample)
{
  document_result result = ParseDocument(Sample());
  CHECK_EQUAL(std::string(), Describe(result));
  CHECK_EQUAL(40u, result.mDocument->mUpstreams.size());
  CHECK_EQUAL(3u, result.mDocument->mBlocks.at({ "leinster-a" }).size());
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
