// Tests of the header that carries credits between entry instances: malformed
// text must yield no credits, not some.
#include "laburnumdyke/plugin/credit_header.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

TEST_GROUP(CreditHeader){};

TEST(CreditHeader, DecodesEncodedCredits)
{
  std::string text =
    EncodeCredits({ { { "booking" }, 9, 2, 0 }, { { "report" }, 3, 0, 14 } });
  STRCMP_EQUAL("booking=9/2/0,report=3/0/14", text.c_str());
  std::vector<service_credit> read = DecodeCredits(text);
  LONGS_EQUAL(2, read.size());
  STRCMP_EQUAL("report", read[1].mService.mValue.c_str());
  LONGS_EQUAL(3, read[1].mSlots);
  LONGS_EQUAL(0, read[1].mFree);
  LONGS_EQUAL(14, read[1].mWaiting);
}

TEST(CreditHeader, MalformedTextYieldsNoCredits)
{
  for (const char* text : { "",
                            "booking",
                            "booking=",
                            "booking=1",
                            "booking=1/2",
                            "booking=1/2/",
                            "booking=1/2/-3",
                            "booking=1/2/3/4",
                            "booking=1/2/4294967296",
                            "booking=1/2/3 ",
                            "Booking=1/2/3",
                            "=1/2/3",
                            "booking=1/2/3,,",
                            "booking=1/2/3,report" }) {
    CHECK_TEXT(DecodeCredits(text).empty(), text);
  }
}

TEST(CreditHeader, MutatedTextIsDecodedOrRejected)
{
  const std::string original = "booking=9/2/0,report=3/0/14,job-sheet=48/7/1";
  std::mt19937 random(5);
  for (int i = 0; i < 100000; ++i) {
    std::string text = original;
    for (int changes = 0; changes < 3; ++changes) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    std::vector<service_credit> read = DecodeCredits(text);
    CHECK(read.empty() ||
          DecodeCredits(EncodeCredits(read)).size() == read.size());
  }
}
