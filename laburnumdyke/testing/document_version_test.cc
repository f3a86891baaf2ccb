// Reading by chunk against the full reader as the slow oracle: whatever is done
// to a text, and however it is cut, the document or the faults are the same.
#include "laburnumdyke/decision/document_version.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::uint32_t kSeeds = 40;
constexpr std::size_t kEdits = 40; // each seed
constexpr std::size_t kDomains = 4;
constexpr std::size_t kBlocks = 1500;

domain_id
DomainOf(std::size_t aIndex)
{
  return { "leinster-" + std::string(1, static_cast<char>('a' + aIndex)) };
}

client_prefix
RandomBlock(std::mt19937& aRandom)
{
  std::uint32_t bits = aRandom();
  std::string text = std::to_string(bits % 223 + 1) + "." +
                     std::to_string(bits >> 8 & 255) + "." +
                     std::to_string(bits >> 16 & 255) + ".0/24";
  return *ParsePrefix(text);
}

document
RandomDocument(std::mt19937& aRandom)
{
  document made;
  made.mRegions[{ "leinster" }] = { 3 };
  made.mServices[{ "booking" }] = {};
  upstream_spec upstream;
  upstream.mService = { "booking" };
  upstream.mDomain = DomainOf(0);
  upstream.mAddress = { "10.0.0.1", 80 };
  upstream.mSlots = 3;
  upstream.mConnections = 650;
  made.mUpstreams[{ "booking-1" }] = upstream;
  std::set<client_prefix> blocks;
  while (blocks.size() < kBlocks) {
    blocks.insert(RandomBlock(aRandom));
  }
  for (std::size_t i = 0; i < kDomains; ++i) {
    made.mDomains[DomainOf(i)] = { { "leinster" } };
  }
  for (const client_prefix& block : blocks) {
    made.mBlocks[DomainOf(aRandom() % kDomains)].Edit().push_back(block);
  }
  return made;
}

std::size_t
LineStart(const std::string& aText, std::mt19937& aRandom)
{
  std::size_t at = aText.find('\n', aRandom() % aText.size());
  return at == std::string::npos ? aText.size() : at + 1;
}

void
EditBlocks(document& aDocument, std::mt19937& aRandom)
{
  domain_id domain = DomainOf(aRandom() % kDomains);
  std::vector<client_prefix>& list = aDocument.mBlocks[domain].Edit();
  std::size_t count = aRandom() % 5 == 0 ? list.size() : aRandom() % 4;
  bool removes = aRandom() % 2 == 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (removes && !list.empty()) {
      list.erase(list.begin() +
                 static_cast<std::ptrdiff_t>(aRandom() % list.size()));
    } else {
      list.push_back(RandomBlock(aRandom)); // at times a repeat
    }
  }
  std::sort(list.begin(), list.end());
  if (list.empty()) {
    aDocument.mBlocks.erase(domain);
  }
}

// Longer than the INI reader takes, and sound but for that.
std::string
LongLine()
{
  std::string line = "leinster-c = 250.0.0.0/24";
  for (int i = 1; line.size() < 220; ++i) {
    line += ", 250.0." + std::to_string(i) + ".0/24";
  }
  return line + "\n";
}

// Texts that nobody's renderer writes.
void
Mutate(std::string& aText, std::mt19937& aRandom)
{
  static const std::vector<std::string> kLines = {
    "# a comment\n",
    "\n",
    "[blocks]\n",
    "[ blocks]\n",
    "[blocks] ; again\n",
    "[region munster]\ncap = 3\n",
    "[region munster]\n",
    "leinster-a = 240.0.0.0/8\n",
    "leinster-a=241.0.0.0/8\n",
    "leinster-a = 242.0.0.0/8 , 243.0.0.0/8\n",
    "leinster-z = 244.0.0.0/8\n",
    "leinster-b = 10.0.0.1/8\n",
    " leinster-b = 245.0.0.0/8\n",
    "leinster-b = 246.0.0.0/8\r\n",
    "leinster-b = \n",
    "leinster-b = 247.0.0.0/8 ; why\n",
    "cap = 2\n",
    "nonsense\n",
    LongLine(),
  };
  switch (aRandom() % 4) {
    case 0:
      aText.at(aRandom() % aText.size()) = static_cast<char>(aRandom() % 128);
      break;
    case 1: {
      std::size_t from = LineStart(aText, aRandom);
      std::size_t to = LineStart(aText, aRandom);
      std::string line = aText.substr(from, aText.find('\n', from) - from);
      aText.insert(to, line + "\n");
      break;
    }
    default:
      aText.insert(LineStart(aText, aRandom),
                   kLines.at(aRandom() % kLines.size()));
  }
}

document_objects
MakeObjects(const std::vector<std::string>& aChunks)
{
  document_objects objects;
  std::string manifest = "laburnumdyke-manifest 1\n";
  for (const std::string& chunk : aChunks) {
    std::string hash = ContentHash(chunk);
    manifest += hash + "\n";
    objects.mObjects[hash] = std::make_shared<const std::string>(chunk);
  }
  objects.mHash = ContentHash(manifest);
  objects.mObjects[objects.mHash] =
    std::make_shared<const std::string>(manifest);
  return objects;
}

// Cut anywhere, or at line ends only.
document_objects
CutAtRandom(std::string_view aText, std::mt19937& aRandom)
{
  bool atLines = aRandom() % 4 != 0;
  std::vector<std::string> chunks;
  while (!aText.empty()) {
    std::size_t length = std::min<std::size_t>(aText.size(), aRandom() % 4000);
    std::size_t end = aText.find('\n', length);
    if (atLines) {
      length = end == std::string_view::npos ? aText.size() : end + 1;
    }
    chunks.emplace_back(aText.substr(0, length));
    aText.remove_prefix(length);
  }
  return MakeObjects(chunks);
}

document_assembly
Assemble(const document_objects& aObjects)
{
  document_assembly assembly(aObjects.mHash);
  CHECK(assembly.TakeManifest(*aObjects.mObjects.at(aObjects.mHash)));
  assembly.Reuse(aObjects.mObjects);
  CHECK(assembly.Missing().empty());
  return assembly;
}

std::string
Describe(const document_result& aResult)
{
  std::string out;
  for (const text_fault& fault : aResult.mFaults) {
    out += fault.Describe("text") + "\n";
  }
  return out;
}

// A line of versions, each read both ways.
struct reader_pair
{
  document_version mPrevious;
  std::size_t mByChunk = 0;
  std::size_t mAccepted = 0;
  std::size_t mRefused = 0;

  void Read(const document_objects& aObjects)
  {
    document_assembly assembly = Assemble(aObjects);
    version_result read = ReadVersion(assembly, mPrevious);
    document_result whole = ParseDocument(assembly.Text());
    CHECK_EQUAL(Describe(whole), Describe(read.mResult));
    CHECK(whole.mDocument == read.mResult.mDocument);
    if (!whole.mDocument) {
      CHECK(!read.mByChunk);
      ++mRefused;
      return;
    }
    ++mAccepted;
    mByChunk += read.mByChunk ? 1 : 0;
    mPrevious = { aObjects.mHash,
                  assembly.Objects(),
                  std::make_shared<const document>(*read.mResult.mDocument),
                  read.mByChunk };
  }
};

} // namespace

TEST_GROUP(DocumentVersion){};

TEST(DocumentVersion, ReadsAsTheFullReaderDoes)
{
  reader_pair readers;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    document now = RandomDocument(random);
    readers.mPrevious = {};
    for (std::size_t i = 0; i < kEdits; ++i) {
      document next = now;
      EditBlocks(next, random);
      std::string text = RenderDocument(next);
      if (random() % 3 == 0) {
        Mutate(text, random);
      }
      bool cuts = random() % 2 == 0;
      readers.Read(cuts ? CutAtRandom(text, random) : SplitDocument(text));
      now = readers.mPrevious.mDocument ? *readers.mPrevious.mDocument : now;
    }
  }
  // Each way is met often.
  CHECK(readers.mByChunk > kSeeds * kEdits / 3);
  CHECK(readers.mAccepted - readers.mByChunk > kSeeds);
  CHECK(readers.mRefused > kSeeds);
}

TEST(DocumentVersion, ListsWithoutAChangeAreShared)
{
  std::mt19937 random(7);
  document made = RandomDocument(random);
  reader_pair readers;
  readers.Read(SplitDocument(RenderDocument(made)));
  std::shared_ptr<const document> before = readers.mPrevious.mDocument;
  made.mBlocks.at(DomainOf(1)).Edit().pop_back();
  readers.Read(SplitDocument(RenderDocument(made)));
  CHECK_EQUAL(2u, readers.mByChunk);
  const block_map& after = readers.mPrevious.mDocument->mBlocks;
  for (std::size_t i = 0; i < kDomains; ++i) {
    domain_id domain = DomainOf(i);
    CHECK(after.at(domain).Shares(before->mBlocks.at(domain)) == (i != 1));
  }
}

TEST(DocumentVersion, ABlockThatMovesStandsOnce)
{
  std::mt19937 random(8);
  document made = RandomDocument(random);
  reader_pair readers;
  readers.Read(SplitDocument(RenderDocument(made)));
  std::vector<client_prefix>& from = made.mBlocks.at(DomainOf(0)).Edit();
  std::vector<client_prefix>& to = made.mBlocks.at(DomainOf(1)).Edit();
  client_prefix block = from.back();
  to.insert(std::lower_bound(to.begin(), to.end(), block), block);
  readers.Read(SplitDocument(RenderDocument(made)));
  CHECK_EQUAL(1u, readers.mRefused); // in both
  from.pop_back();
  readers.Read(SplitDocument(RenderDocument(made)));
  CHECK_EQUAL(2u, readers.mByChunk);
}

// The earlier version has blocks outside its last section: what both versions
// have in common must not bring them along.
TEST(DocumentVersion, AVersionThatWasReadWholeIsNotBuiltOn)
{
  std::mt19937 random(9);
  std::string text = RenderDocument(RandomDocument(random));
  std::size_t heading = text.find("[blocks]\n");
  std::string odd = text;
  odd.insert(heading, "[blocks] ; more\nleinster-a = 240.0.0.0/8\n");
  reader_pair readers;
  readers.Read(SplitDocument(odd));
  CHECK_EQUAL(0u, readers.mByChunk);
  readers.Read(SplitDocument(text));
  CHECK_EQUAL(1u, readers.mByChunk);
}

// The chunk that held the heading comes again where lines of blocks stand.
TEST(DocumentVersion, SectionsInAKnownChunkAreReadAgain)
{
  std::mt19937 random(10);
  std::string text = RenderDocument(RandomDocument(random));
  std::string sections = text.substr(0, text.find("[blocks]\n"));
  reader_pair readers;
  readers.Read(MakeObjects({ text }));
  CHECK_EQUAL(1u, readers.mByChunk);
  readers.Read(
    MakeObjects({ sections + "[blocks]\nleinster-a = 240.0.0.0/8\n", text }));
  CHECK_EQUAL(1u, readers.mRefused);
}

TEST(DocumentVersion, ALongLineIsRefused)
{
  std::mt19937 random(11);
  std::string text = RenderDocument(RandomDocument(random));
  reader_pair readers;
  readers.Read(SplitDocument(text + LongLine()));
  CHECK_EQUAL(1u, readers.mRefused);
}
