// Documents as objects: joined again they are the same, a change of one block
// moves little, and an object that is not the one named is refused.
#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"

#include <algorithm>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::size_t kBlocks = 100000;

// A text with blocks at random places; the same seed gives the same text.
std::string
ManyBlocks(std::uint32_t aExtra)
{
  document made;
  std::mt19937 random(7);
  block_list::container& blocks = made.mBlocks[{ "leinster-a" }].Edit();
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
  return RenderDocument(made);
}

std::size_t
BytesToMove(const document_objects& aFrom, const document_objects& aTo)
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
  const std::string kTexts[] = { "", "a", "a\n", "a\nb", ManyBlocks(0) };
  for (const std::string& text : kTexts) {
    document_objects objects = SplitDocument(text);
    document_assembly assembly(objects.mHash);
    CHECK(assembly.TakeManifest(*objects.mObjects.at(objects.mHash)));
    for (const std::string& hash : assembly.Missing()) {
      CHECK(assembly.TakeChunk(hash, *objects.mObjects.at(hash)));
    }
    CHECK(assembly.Missing().empty());
    CHECK(text == assembly.Text());
    CHECK_EQUAL(objects.mObjects.size(), assembly.Objects().size());
  }
}

TEST(DocumentChunks, AChangeOfOneBlockMovesLittle)
{
  document_objects before = SplitDocument(ManyBlocks(0));
  document_objects after = SplitDocument(ManyBlocks(1));
  std::size_t whole = BytesToMove({}, before);
  // Two of the largest chunks and the manifest; most often one of 36 KB.
  CHECK(BytesToMove(before, after) <= 2UL * 256 * 1024 + whole / 100);
  CHECK(BytesToMove(before, after) < whole / 2);
}

TEST(DocumentChunks, WhatIsNotTheNamedObjectIsRefused)
{
  document_objects objects = SplitDocument("a\nb\n");
  const std::string& manifest = *objects.mObjects.at(objects.mHash);
  document_assembly assembly(objects.mHash);
  const std::string kBad[] = { "", "x", manifest + "\n", manifest + "zz\n" };
  for (const std::string& bad : kBad) {
    CHECK(!assembly.TakeManifest(bad));
  }
  CHECK(assembly.TakeManifest(manifest));
  CHECK(!assembly.TakeChunk(assembly.Missing().front(), "a\nc\n"));
  CHECK_EQUAL(1u, assembly.Missing().size());
}

TEST(DocumentChunks, ChunksAtHandAreNotAskedFor)
{
  document_objects before = SplitDocument(ManyBlocks(0));
  document_objects after = SplitDocument(ManyBlocks(1));
  document_assembly assembly(after.mHash);
  CHECK(assembly.TakeManifest(*after.mObjects.at(after.mHash)));
  std::size_t all = assembly.Missing().size();
  assembly.Reuse(before.mObjects);
  CHECK(assembly.Missing().size() < all);
  for (const std::string& hash : assembly.Missing()) {
    CHECK(before.mObjects.count(hash) == 0);
  }
}
