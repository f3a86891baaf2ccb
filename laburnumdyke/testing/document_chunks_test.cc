// Documents as objects: the chunks join to the original text, a change of one
// block transfers few bytes, and an object with another hash is refused.
#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"

#include <algorithm>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::size_t kBlocks = 100000;

// A text with kBlocks pseudo-random blocks and aExtra more; the same on each
// call.
std::string
TextWithManyBlocks(std::uint32_t aExtra)
{
  document generated;
  std::mt19937 random(7);
  block_list::container& blocks = generated.mBlocks[{ "leinster-a" }].Edit();
  for (std::size_t i = 0; i < kBlocks; ++i) {
    std::uint32_t network = random();
    client_prefix prefix;
    prefix.mAddress = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };
    prefix.mAddress[12] = static_cast<std::uint8_t>(network >> 24);
    prefix.mAddress[13] = static_cast<std::uint8_t>(network >> 16);
    prefix.mAddress[14] = static_cast<std::uint8_t>(network >> 8);
    prefix.mLength = 120;
    blocks.push_back(prefix);
  }
  for (std::uint32_t i = 0; i < aExtra; ++i) {
    client_prefix prefix = blocks[static_cast<std::size_t>(i) * 1000];
    prefix.mAddress[15] = 128;
    prefix.mLength = 121;
    blocks.push_back(prefix);
  }
  std::sort(blocks.begin(), blocks.end());
  return RenderDocument(generated);
}

std::size_t
BytesToTransfer(const document_objects& aFrom, const document_objects& aTo)
{
  std::size_t bytes = 0;
  for (const object_map::value_type& entry : aTo.mObjects) {
    bytes += aFrom.mObjects.count(entry.first) > 0 ? 0 : entry.second->size();
  }
  return bytes;
}

} // namespace

TEST_GROUP(DocumentChunks){};

TEST(DocumentChunks, ChunksJoinToTheSameText)
{
  const std::string kTexts[] = {
    "", "a", "a\n", "a\nb", TextWithManyBlocks(0)
  };
  for (const std::string& text : kTexts) {
    document_objects objects = SplitDocument(text);
    document_assembly assembly(objects.mHash);
    CHECK(assembly.SetManifest(*objects.mObjects.at(objects.mHash)));
    for (const std::string& hash : assembly.Missing()) {
      CHECK(assembly.AddChunk(hash, *objects.mObjects.at(hash)));
    }
    CHECK(assembly.Missing().empty());
    CHECK(text == assembly.Text());
    CHECK_EQUAL(objects.mObjects.size(), assembly.Objects().size());
  }
}

TEST(DocumentChunks, AChangeOfOneBlockTransfersFewBytes)
{
  document_objects before = SplitDocument(TextWithManyBlocks(0));
  document_objects after = SplitDocument(TextWithManyBlocks(1));
  std::size_t whole = BytesToTransfer({}, before);
  // At most two chunks of the largest size and the manifest; usually one chunk
  // of about 36 KB.
  CHECK(BytesToTransfer(before, after) <= 2UL * 256 * 1024 + whole / 100);
  CHECK(BytesToTransfer(before, after) < whole / 2);
}

TEST(DocumentChunks, AnObjectWithAnotherHashIsRefused)
{
  document_objects objects = SplitDocument("a\nb\n");
  const std::string& manifest = *objects.mObjects.at(objects.mHash);
  document_assembly assembly(objects.mHash);
  const std::string kBad[] = { "", "x", manifest + "\n", manifest + "zz\n" };
  for (const std::string& bad : kBad) {
    CHECK(!assembly.SetManifest(bad));
  }
  CHECK(assembly.SetManifest(manifest));
  CHECK(!assembly.AddChunk(assembly.Missing().front(), "a\nc\n"));
  CHECK_EQUAL(1u, assembly.Missing().size());
}

TEST(DocumentChunks, ReusedChunksAreNotMissing)
{
  document_objects before = SplitDocument(TextWithManyBlocks(0));
  document_objects after = SplitDocument(TextWithManyBlocks(1));
  document_assembly assembly(after.mHash);
  CHECK(assembly.SetManifest(*after.mObjects.at(after.mHash)));
  std::size_t all = assembly.Missing().size();
  assembly.Reuse(before.mObjects);
  CHECK(assembly.Missing().size() < all);
  for (const std::string& hash : assembly.Missing()) {
    CHECK(before.mObjects.count(hash) == 0);
  }
}
