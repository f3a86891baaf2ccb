// What a change of one client block costs a node at several sizes: bytes moved,
// time until the version and its block table are ready, and memory. The full
// reader's time stands beside it. Usage: document_bench
#include "laburnumdyke/decision/document_version.h"
#include "laburnumdyke/decision/placement.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>
#include <string>

namespace {

// Bytes on the heap, by what the allocator has handed out.
std::atomic<std::size_t> gLive{ 0 };
std::atomic<std::size_t> gPeak{ 0 };

} // namespace

void*
operator new(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  std::size_t live = gLive += malloc_usable_size(memory);
  gPeak = std::max(gPeak.load(), live);
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  gLive -= malloc_usable_size(aMemory);
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  operator delete(aMemory);
}

namespace {

using namespace laburnumdyke;

constexpr std::size_t kDomains = 54;

using clock_type = std::chrono::steady_clock;

constexpr std::size_t kUpstreams = 20; // each failure domain

void
AddUpstreams(document& aDocument)
{
  region_id region{ "region" };
  service_id service{ "service" };
  upstream_spec upstream;
  upstream.mService = service;
  upstream.mSlots = 3;
  upstream.mConnections = 650;
  aDocument.mServices[service] = {};
  std::uint16_t port = 1024;
  for (std::size_t i = 0; i < kDomains; ++i) {
    domain_id domain{ "domain-" + std::to_string(i) };
    aDocument.mDomains[domain] = { region };
    upstream.mDomain = domain;
    for (std::size_t j = 0; j < kUpstreams; ++j) {
      upstream.mAddress = { "127.0.0.1", ++port };
      aDocument.mUpstreams[{ "upstream-" + std::to_string(port) }] = upstream;
      aDocument.mRegions[region].mCap += upstream.mSlots;
    }
  }
}

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
    made.mBlocks[domain].Edit().push_back(prefix);
  }
  for (block_map::value_type& entry : made.mBlocks) {
    block_list::container& list = entry.second.Edit();
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
  }
  AddUpstreams(made);
  return made;
}

double
MillisSince(clock_type::time_point aStart)
{
  return std::chrono::duration<double, std::milli>(clock_type::now() - aStart)
    .count();
}

// What a node keeps of a version, as its plug-ins do.
struct node
{
  document_version mVersion;
  block_table mTable;

  void Take(const document_objects& aObjects)
  {
    document_assembly assembly(aObjects.mHash);
    assembly.SetManifest(*aObjects.mObjects.at(aObjects.mHash));
    assembly.Reuse(mVersion.mObjects);
    for (const std::string& hash : assembly.Missing()) {
      std::string_view text = *aObjects.mObjects.at(hash);
      assembly.AddChunk(hash, std::string(text));
    }
    version_result read = ReadVersion(assembly, mVersion);
    if (!read.mIncremental) {
      std::printf("read whole\n");
    }
    std::shared_ptr<const document> next =
      std::make_shared<const document>(std::move(*read.mResult.mDocument));
    mTable = UpdateBlocks(mTable, mVersion.mDocument.get(), *next);
    mVersion = { aObjects.mHash, assembly.Objects(), next, read.mIncremental };
  }
};

struct cost
{
  double mMillis = 0;
  double mPeak = 0; // MB over what was there before the node
  double mKept = 0; // MB
};

cost
MeasureTake(node& aNode,
            const document_objects& aObjects,
            std::size_t aBaseline)
{
  constexpr double kMegabyte = 1e6;
  gPeak = gLive.load();
  clock_type::time_point start = clock_type::now();
  aNode.Take(aObjects);
  cost result;
  result.mMillis = MillisSince(start);
  result.mPeak = static_cast<double>(gPeak - aBaseline) / kMegabyte;
  result.mKept = static_cast<double>(gLive - aBaseline) / kMegabyte;
  return result;
}

double
MeasureWhole(const std::string& aText)
{
  clock_type::time_point start = clock_type::now();
  document_result read = ParseDocument(aText);
  if (!read.mDocument) {
    std::printf("%s\n", read.mFaults.front().Describe("document").c_str());
  }
  return MillisSince(start);
}

void
Measure(std::size_t aBlocks)
{
  document made = MakeDocument(aBlocks);
  document_objects old = SplitDocument(RenderDocument(made));
  block_list::container& list = made.mBlocks.begin()->second.Edit();
  list.erase(list.begin() + static_cast<std::ptrdiff_t>(list.size() / 2));
  std::string after = RenderDocument(made);
  made = {};
  std::size_t textSize = after.size();
  clock_type::time_point start = clock_type::now();
  document_objects fresh = SplitDocument(after);
  double split = MillisSince(start);
  std::size_t moved = 0;
  for (const object_map::value_type& entry : fresh.mObjects) {
    moved += old.mObjects.count(entry.first) > 0 ? 0 : entry.second->size();
  }
  double whole = MeasureWhole(after);
  after = {};
  std::size_t baseline = gLive;
  node one;
  cost first = MeasureTake(one, old, baseline);
  cost change = MeasureTake(one, fresh, baseline);
  std::printf("%8zu %9zu %7zu %8zu %6.0f %6.0f %6.0f %7.1f %7.1f %6.1f "
              "%7.1f\n",
              aBlocks,
              textSize,
              fresh.mObjects.size(),
              moved,
              split,
              whole,
              first.mMillis,
              first.mPeak,
              change.mMillis,
              change.mPeak,
              change.mKept);
}

} // namespace

int
main()
{
  std::printf("%8s %9s %7s %8s %6s %6s %6s %7s %7s %6s %7s\n",
              "blocks",
              "text B",
              "objects",
              "moved B",
              "split",
              "whole",
              "first",
              "first",
              "change",
              "change",
              "kept");
  std::printf("%8s %9s %7s %8s %6s %6s %6s %7s %7s %6s %7s\n",
              "",
              "",
              "",
              "",
              "ms",
              "ms",
              "ms",
              "peak MB",
              "ms",
              "MB",
              "MB");
  for (std::size_t blocks : { 100000UL, 400000UL, 1900000UL }) {
    Measure(blocks);
  }
  return 0;
}
