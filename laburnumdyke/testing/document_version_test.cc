// Checks ReadVersion() against ParseDocument() as the reference: for edited and
// mutated texts, split into chunks anywhere, both give the same document or the
// same faults.
#include "laburnumdyke/decision/document_version.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::uint32_t kSeeds = 40;
constexpr std::size_t kEdits = 40; // per seed
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
  document generated;
  generated.mRegions[{ "leinster" }] = { 3 };
  generated.mServices[{ "booking" }] = {};
  upstream_spec upstream;
  upstream.mService = { "booking" };
  upstream.mDomain = DomainOf(0);
  upstream.mAddress = { "10.0.0.1", 80 };
  upstream.mSlots = 3;
  upstream.mConnections = 650;
  generated.mUpstreams[{ "booking-1" }] = upstream;
  std::set<client_prefix> blocks;
  while (blocks.size() < kBlocks) {
    blocks.insert(RandomBlock(aRandom));
  }
  for (std::size_t i = 0; i < kDomains; ++i) {
    generated.mDomains[DomainOf(i)] = { { "leinster" } };
  }
  for (const client_prefix& block : blocks) {
    generated.mBlocks[DomainOf(aRandom() % kDomains)].Edit().push_back(block);
  }
  return generated;
}

std::size_t
LineStart(const std::string& aText, std::mt19937& aRandom)
{
  std::size_t at = aText.find('\n', aRandom() % aText.size());
  return at == std::string::npos ? aText.size() : at + 1;
}

void
ChangeBlocks(document& aDocument, std::mt19937& aRandom)
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
      list.push_back(RandomBlock(aRandom)); // may repeat a block
    }
  }
  std::sort(list.begin(), list.end());
  if (list.empty()) {
    aDocument.mBlocks.erase(domain);
  }
}

// Longer than the INI parser accepts, but valid otherwise.
std::string
LongLine()
{
  std::string line = "leinster-c = 250.0.0.0/24";
  for (int i = 1; line.size() < 220; ++i) {
    line += ", 250.0." + std::to_string(i) + ".0/24";
  }
  return line + "\n";
}

// Changes the text in ways that RenderDocument() never writes it.
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

// Splits the text into chunks that end at any byte, or only at line ends.
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
  CHECK(assembly.SetManifest(*aObjects.mObjects.at(aObjects.mHash)));
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

// Reads successive versions both incrementally and in full, and compares the
// results.
struct version_reader
{
  document_version mPrevious;
  std::size_t mIncremental = 0;
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
      CHECK(!read.mIncremental);
      ++mRefused;
      return;
    }
    ++mAccepted;
    mIncremental += read.mIncremental ? 1 : 0;
    mPrevious = { aObjects.mHash,
                  assembly.Objects(),
                  std::make_shared<const document>(*read.mResult.mDocument),
                  read.mIncremental };
  }
};

} // namespace

TEST_GROUP(DocumentVersion){};

TEST(DocumentVersion, ReadsAsParseDocumentDoes)
{
  version_reader reader;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    document now = RandomDocument(random);
    reader.mPrevious = {};
    for (std::size_t i = 0; i < kEdits; ++i) {
      document next = now;
      ChangeBlocks(next, random);
      std::string text = RenderDocument(next);
      if (random() % 3 == 0) {
        Mutate(text, random);
      }
      bool cutsAtRandom = random() % 2 == 0;
      reader.Read(cutsAtRandom ? CutAtRandom(text, random)
                               : SplitDocument(text));
      now = reader.mPrevious.mDocument ? *reader.mPrevious.mDocument : now;
    }
  }
  // Incremental reads, full reads and refusals all occur often.
  CHECK(reader.mIncremental > kSeeds * kEdits / 3);
  CHECK(reader.mAccepted - reader.mIncremental > kSeeds);
  CHECK(reader.mRefused > kSeeds);
}

TEST(DocumentVersion, ListsWithoutAChangeAreShared)
{
  std::mt19937 random(7);
  document generated = RandomDocument(random);
  version_reader reader;
  reader.Read(SplitDocument(RenderDocument(generated)));
  std::shared_ptr<const document> before = reader.mPrevious.mDocument;
  generated.mBlocks.at(DomainOf(1)).Edit().pop_back();
  reader.Read(SplitDocument(RenderDocument(generated)));
  CHECK_EQUAL(2u, reader.mIncremental);
  const block_map& after = reader.mPrevious.mDocument->mBlocks;
  for (std::size_t i = 0; i < kDomains; ++i) {
    domain_id domain = DomainOf(i);
    CHECK(after.at(domain).SharesStorageWith(before->mBlocks.at(domain)) ==
          (i != 1));
  }
}

TEST(DocumentVersion, AMovedBlockIsNotRepeated)
{
  std::mt19937 random(8);
  document generated = RandomDocument(random);
  version_reader reader;
  reader.Read(SplitDocument(RenderDocument(generated)));
  std::vector<client_prefix>& from = generated.mBlocks.at(DomainOf(0)).Edit();
  std::vector<client_prefix>& to = generated.mBlocks.at(DomainOf(1)).Edit();
  client_prefix block = from.back();
  to.insert(std::lower_bound(to.begin(), to.end(), block), block);
  reader.Read(SplitDocument(RenderDocument(generated)));
  CHECK_EQUAL(1u, reader.mRefused); // the block is in both lists
  from.pop_back();
  reader.Read(SplitDocument(RenderDocument(generated)));
  CHECK_EQUAL(2u, reader.mIncremental);
}

// The previous version has a block under a heading that is not in canonical
// form. Reusing the chunks that both versions share must not carry that block
// over.
TEST(DocumentVersion, AVersionParsedInFullIsNotUsedAsBase)
{
  std::mt19937 random(9);
  std::string text = RenderDocument(RandomDocument(random));
  std::size_t heading = text.find("[blocks]\n");
  std::string withTwoHeadings = text;
  withTwoHeadings.insert(heading,
                         "[blocks] ; more\nleinster-a = 240.0.0.0/8\n");
  version_reader reader;
  reader.Read(SplitDocument(withTwoHeadings));
  CHECK_EQUAL(0u, reader.mIncremental);
  reader.Read(SplitDocument(text));
  CHECK_EQUAL(1u, reader.mIncremental);
}

// A chunk of the previous version that holds sections and the heading follows
// the heading in the new version, where only block lines are expected. It must
// not be passed over as known.
TEST(DocumentVersion, SectionsInAReusedChunkAreParsedAgain)
{
  std::mt19937 random(10);
  std::string text = RenderDocument(RandomDocument(random));
  std::string sections = text.substr(0, text.find("[blocks]\n"));
  version_reader reader;
  reader.Read(MakeObjects({ text }));
  CHECK_EQUAL(1u, reader.mIncremental);
  reader.Read(
    MakeObjects({ sections + "[blocks]\nleinster-a = 240.0.0.0/8\n", text }));
  CHECK_EQUAL(1u, reader.mRefused);
}

TEST(DocumentVersion, ALongLineIsRefused)
{
  std::mt19937 random(11);
  std::string text = RenderDocument(RandomDocument(random));
  version_reader reader;
  reader.Read(SplitDocument(text + LongLine()));
  CHECK_EQUAL(1u, reader.mRefused);
}
