// Names carry their index, so that the run maps them back without tables.
#include "laburnumdyke/testing/soak/deployment.h"

#include <array>
#include <charconv>

namespace laburnumdyke {

namespace {

constexpr std::array<std::string_view, kSoakDomains> kDomains = { "north-a",
                                                                  "north-b",
                                                                  "south-a" };
constexpr std::array<std::string_view, kSoakDomains> kRegions = { "north",
                                                                  "north",
                                                                  "south" };
constexpr std::string_view kInstancePrefix = "entry-";
constexpr std::string_view kUpstreamPrefix = "upstream-";
constexpr std::string_view kEntryNet = "127.0.1.";

std::optional<std::size_t>
IndexAfter(std::string_view aText, std::string_view aPrefix)
{
  if (aText.substr(0, aPrefix.size()) != aPrefix) {
    return std::nullopt;
  }
  aText.remove_prefix(aPrefix.size());
  std::size_t index = 0;
  std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), index);
  return parsed.ec == std::errc() ? std::optional(index) : std::nullopt;
}

endpoint
EntryEndpoint(std::size_t aEntry, std::uint16_t aPort)
{
  return { std::string(kEntryNet) + std::to_string(aEntry + 1), aPort };
}

std::string
UpstreamSection(std::size_t aUpstream)
{
  std::size_t service = aUpstream % kSoakServices;
  return "[upstream " + SoakUpstream(aUpstream).mValue +
         "]\nservice = " + SoakServices().at(service).mService.mValue +
         "\nfailure_domain = " +
         std::string(kDomains.at(DomainOfUpstream(aUpstream))) +
         "\naddress = 127.0.2." + std::to_string(aUpstream + 1) +
         ":9000\nslots = " + std::to_string(kSoakSlots) +
         "\nconnections = 64\n";
}

} // namespace

const std::vector<soak_service>&
SoakServices()
{
  static const std::vector<soak_service> kServices = {
    { { "booking" },
      work_rank::Urgent,
      false,
      std::chrono::milliseconds(1500) },
    { { "sheet" }, work_rank::Standard, true, std::chrono::milliseconds(1500) },
    { { "report" }, work_rank::Bulk, true, std::chrono::milliseconds(3000) },
  };
  return kServices;
}

std::string
SoakDocument()
{
  std::string text = "[region north]\ncap = 36\n[region south]\ncap = 18\n"
                     "[link north-south]\nbetween = north, south\nrate = 300\n"
                     "[rank urgent]\nfloor = 40\nqueue = 16\n"
                     "[rank standard]\nfloor = 30\nqueue = 16\n"
                     "[rank bulk]\nfloor = 10\nqueue = 16\n";
  for (std::size_t i = 0; i < kSoakDomains; ++i) {
    text += "[failure_domain " + std::string(kDomains.at(i)) +
            "]\nregion = " + std::string(kRegions.at(i)) + "\n";
  }
  for (const soak_service& one : SoakServices()) {
    text += "[service " + one.mService.mValue +
            "]\nrank = " + std::string(ToString(one.mRank)) +
            "\nidempotent = " + (one.mIdempotent ? "yes" : "no") +
            "\nanswer_life = 3s\ndeadline = " +
            std::to_string(one.mDeadline.count()) + "ms\nwarm_up = 5s\n";
  }
  for (std::size_t i = 0; i < kSoakUpstreams; ++i) {
    text += UpstreamSection(i);
  }
  text += "[blocks]\n";
  for (std::size_t i = 0; i < kSoakDomains; ++i) {
    text +=
      std::string(kDomains.at(i)) + " = 10.0." + std::to_string(i) + ".0/24\n";
  }
  return text;
}

std::size_t
DomainOfEntry(std::size_t aEntry)
{
  return aEntry / kSoakEntriesPerDomain;
}

std::size_t
DomainOfUpstream(std::size_t aUpstream)
{
  return aUpstream / (kSoakServices * kSoakUpstreamsPerService);
}

member
SoakMember(std::size_t aEntry, std::uint64_t aIncarnation)
{
  std::size_t domain = DomainOfEntry(aEntry);
  member self;
  self.mInstance.mValue = std::string(kInstancePrefix) + std::to_string(aEntry);
  self.mIncarnation = aIncarnation;
  self.mRegion.mValue = kRegions.at(domain);
  self.mDomain.mValue = kDomains.at(domain);
  self.mCaller = EntryEndpoint(aEntry, 7001);
  self.mRelay = EntryEndpoint(aEntry, 7002);
  self.mPeer = EntryEndpoint(aEntry, 7003);
  return self;
}

upstream_id
SoakUpstream(std::size_t aUpstream)
{
  return { std::string(kUpstreamPrefix) + std::to_string(aUpstream) };
}

std::optional<std::size_t>
UpstreamIndex(const upstream_id& aUpstream)
{
  return IndexAfter(aUpstream.mValue, kUpstreamPrefix);
}

std::optional<std::size_t>
EntryIndex(const instance_id& aInstance)
{
  return IndexAfter(aInstance.mValue, kInstancePrefix);
}

std::optional<std::size_t>
EntryAt(const endpoint& aPeerOrRelay)
{
  std::optional<std::size_t> host =
    IndexAfter(aPeerOrRelay.mAddress, kEntryNet);
  return host ? std::optional(*host - 1) : std::nullopt;
}

address_bytes
SoakClient(std::size_t aDomain)
{
  return ParseAddress("10.0." + std::to_string(aDomain) + ".9").value();
}

} // namespace laburnumdyke
