// Blocks from kMapped bytes on are mapped; smaller ones come from the heap.
#include "laburnumdyke/plugin/block_buffer.h"

#include <algorithm>
#include <new>

#include <sys/mman.h>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMapped = 32UL * 1024;

char*
Allocate(std::size_t aBytes)
{
  if (aBytes < kMapped) {
    return new char[aBytes];
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
  if (mBytes < kMapped) {
    delete[] aData;
  } else {
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
  mBlocks.push_back(
    { std::unique_ptr<char, release>(Allocate(aBytes), release{ aBytes }), 0 });
  mCapacity += aBytes;
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
