// What a change of one client block costs at several sizes: bytes moved, and
// time to split, join and read the text. Usage: document_bench
#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>

namespace {

using namespace laburnumdyke;

constexpr std::size_t kDomains = 54;

using clock_type = std::chrono::steady_clock;

// Half IPv4 /24 and half IPv6 /48, at random places over the domains.
document
MakeDocument(std::size_t aBlocks)
{
  document made;
  std::mt19937_64 random(7);
  for (std::size_t i = 0; i < aBlocks; ++i) {
    bool isV4 = i % 2 == 0;
    // The same block always falls to the same failure domain.
    std::uint64_t bits = random() & (isV4 ? 0xffffffU : 0xffffffffU);
    client_prefix prefix;
    prefix.mAddress =
      isV4 ? address_bytes{ 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff }
           : address_bytes{ 0x20, 0x01 };
    std::size_t first = isV4 ? 12 : 2;
    std::size_t count = isV4 ? 3 : 4;
    for (std::size_t j = 0; j < count; ++j) {
      prefix.mAddress.at(first + j) = static_cast<std::uint8_t>(bits >> 8 * j);
    }
    prefix.mLength = isV4 ? 120 : 48;
    domain_id domain{ "domain-" + std::to_string(bits % kDomains) };
    made.mBlocks[domain].push_back(prefix);
  }
  for (block_map::value_type& entry : made.mBlocks) {
    std::sort(entry.second.begin(), entry.second.end());
    entry.second.erase(std::unique(entry.second.begin(), entry.second.end()),
                       entry.second.end());
  }
  region_id region{ "region" };
  service_id service{ "service" };
  made.mRegions[region] = { 3 };
  made.mServices[service] = {};
  for (std::size_t i = 0; i < kDomains; ++i) {
    made.mDomains[{ "domain-" + std::to_string(i) }] = { region };
  }
  upstream_spec upstream;
  upstream.mService = service;
  upstream.mDomain = { "domain-0" };
  upstream.mAddress = { "127.0.0.1", 80 };
  upstream.mSlots = 3;
  upstream.mConnections = 10;
  made.mUpstreams[{ "upstream" }] = upstream;
  return made;
}

double
MillisSince(clock_type::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(clock_type::now() - aStart)
    .count();
}

void
Measure(std::size_t aBlocks)
{
  document made = MakeDocument(aBlocks);
  std::string before = RenderDocument(made);
  document_objects old = SplitDocument(before);
  made.mBlocks.begin()->second.erase(
    made.mBlocks.begin()->second.begin() +
    static_cast<std::ptrdiff_t>(made.mBlocks.begin()->second.size() / 2));
  std::string after = RenderDocument(made);
  clock_type::time_point start = clock_type::now();
  document_objects fresh = SplitDocument(after);
  double split = MillisSince(start);
  std::size_t moved = 0;
  for (const object_map::value_type& entry : fresh.mObjects) {
    moved += old.mObjects.count(entry.first) > 0 ? 0 : entry.second->size();
  }
  start = clock_type::now();
  document_result read = ParseDocument(after);
  double parse = MillisSince(start);
  if (!read.mDocument) {
    std::printf("%s\n", read.mFaults.front().Describe("document").c_str());
  }
  std::printf("%9zu %10zu %8zu %10zu %12zu %9.0f %9.0f\n",
              aBlocks,
              after.size(),
              fresh.mObjects.size(),
              fresh.mObjects.at(fresh.mHash)->size(),
              moved,
              split,
              parse);
}

} // namespace

int
main()
{
  std::printf("%9s %10s %8s %10s %12s %9s %9s\n",
              "blocks",
              "text B",
              "objects",
              "manifest B",
              "moved B",
              "split ms",
              "parse ms");
  for (std::size_t blocks : { 100000UL, 400000UL, 1900000UL }) {
    Measure(blocks);
  }
  return 0;
}
