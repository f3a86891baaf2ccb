// Bytes of a message's body, in a chain of blocks.
//
// Growing neither moves nor copies bytes, and costs at most one block beyond
// them. Blocks are whole pages and are mapped rather than allocated, so that
// their memory returns to the system when they are released. The heap would
// keep it, while the budget grants it to another body. A few blocks of the
// smallest size are kept for reuse by any thread.
//
// Usage:
//   if (buffer.Space().empty()) buffer.Grow(buffer.NextBlock());
//   std::span<char> space = buffer.Space();  // to be filled
//   buffer.Commit(count);
//   for (i < buffer.Filled()) ... buffer.Block(i)
#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace laburnumdyke {

class block_buffer
{
public:
  // Most bodies fit into the first block.
  static constexpr std::size_t kFirstBlock = 4096;
  static constexpr std::size_t kBlock = 64UL * 1024;

  // What a block of aBytes occupies: whole pages, kFirstBlock bytes each.
  static constexpr std::size_t Occupied(std::size_t aBytes)
  {
    return (aBytes + kFirstBlock - 1) / kFirstBlock * kFirstBlock;
  }

  // The size of the next block, so that the capacity quadruples up to kBlock.
  std::size_t NextBlock() const;

  // Adds a block of Occupied(aBytes).
  void Grow(std::size_t aBytes);

  // What can be filled before the buffer grows; empty if nothing.
  std::span<char> Space();
  void Commit(std::size_t aBytes);

  std::size_t Size() const { return mSize; }
  std::size_t Capacity() const { return mCapacity; }

  // Number of blocks that hold bytes.
  std::size_t Filled() const;
  std::span<const char> Block(std::size_t aIndex) const;

  // Forgets the bytes and keeps the blocks.
  void Clear();

private:
  struct release
  {
    std::size_t mBytes = 0;
    void operator()(char* aData) const;
  };

  struct block
  {
    std::unique_ptr<char, release> mData;
    std::size_t mUsed = 0;
  };

  std::vector<block> mBlocks;
  std::size_t mCurrent = 0; // the block that is being filled
  std::size_t mSize = 0;
  std::size_t mCapacity = 0;
};

} // namespace laburnumdyke
