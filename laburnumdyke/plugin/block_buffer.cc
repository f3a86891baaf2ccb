// A message of a few kilobytes needs one block. Keeping some of them avoids
// system calls for such messages.
#include "laburnumdyke/plugin/block_buffer.h"

#include "laburnumdyke/kernel/guarded.h"

#include <algorithm>
#include <array>
#include <new>

#include <sys/mman.h>

namespace laburnumdyke {

namespace {

// Released blocks of kFirstBlock bytes: at most 1 MB, which no budget counts.
struct kept_blocks
{
  static constexpr lock_rank kLockRank = lock_rank::Blocks;

  std::array<char*, 256> mFree{};
  std::size_t mCount = 0;
};

table<kept_blocks>&
KeptBlocks()
{
  static table<kept_blocks> sKept;
  return sKept;
}

char*
TakeKept()
{
  return KeptBlocks().With([](kept_blocks& aKept) -> char* {
    return aKept.mCount > 0 ? aKept.mFree[--aKept.mCount] : nullptr;
  });
}

bool
Keep(char* aBlock)
{
  return KeptBlocks().With([&](kept_blocks& aKept) {
    if (aKept.mCount == aKept.mFree.size()) {
      return false;
    }
    aKept.mFree[aKept.mCount++] = aBlock;
    return true;
  });
}

char*
Allocate(std::size_t aBytes)
{
  char* kept = aBytes == block_buffer::kFirstBlock ? TakeKept() : nullptr;
  if (kept != nullptr) {
    return kept;
  }
  void* mapped = ::mmap(nullptr,
                        aBytes,
                        PROT_READ | PROT_WRITE,
                        MAP_PRIVATE | MAP_ANONYMOUS,
                        -1,
                        0);
  if (mapped == MAP_FAILED) {
    throw std::bad_alloc();
  }
  return static_cast<char*>(mapped);
}

} // namespace

void
block_buffer::release::operator()(char* aData) const
{
  if (mBytes != kFirstBlock || !Keep(aData)) {
    ::munmap(aData, mBytes);
  }
}

std::size_t
block_buffer::NextBlock() const
{
  return mCapacity == 0 ? kFirstBlock : std::min(3 * mCapacity, kBlock);
}

void
block_buffer::Grow(std::size_t aBytes)
{
  std::size_t bytes = Occupied(aBytes);
  mBlocks.push_back(
    { std::unique_ptr<char, release>(Allocate(bytes), release{ bytes }), 0 });
  mCapacity += bytes;
}

std::span<char>
block_buffer::Space()
{
  while (mCurrent < mBlocks.size()) {
    block& current = mBlocks[mCurrent];
    std::size_t bytes = current.mData.get_deleter().mBytes;
    if (current.mUsed < bytes) {
      return { current.mData.get() + current.mUsed, bytes - current.mUsed };
    }
    ++mCurrent;
  }
  return {};
}

void
block_buffer::Commit(std::size_t aBytes)
{
  if (aBytes > 0) {
    mBlocks[mCurrent].mUsed += aBytes;
    mSize += aBytes;
  }
}

std::size_t
block_buffer::Filled() const
{
  return static_cast<std::size_t>(
    std::count_if(mBlocks.begin(), mBlocks.end(), [](const block& aBlock) {
      return aBlock.mUsed > 0;
    }));
}

std::span<const char>
block_buffer::Block(std::size_t aIndex) const
{
  return { mBlocks[aIndex].mData.get(), mBlocks[aIndex].mUsed };
}

void
block_buffer::Clear()
{
  for (block& used : mBlocks) {
    used.mUsed = 0;
  }
  mCurrent = 0;
  mSize = 0;
}

} // namespace laburnumdyke
