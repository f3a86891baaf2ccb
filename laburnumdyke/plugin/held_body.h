// Requests and responses held in memory, within the budget of the instance
// (decision/body_budget.h).
//
// Usage:
//   body_read read = co_await ReadHeldBody(table, exchange, limit);
//   if (read.mEnd == body_end::Whole) ... read.mBody.Bytes() ...
//
// The memory is given back when the object that holds it is destroyed.
#pragma once

#include "laburnumdyke/decision/body_budget.h"
#include "laburnumdyke/kernel/guarded.h"
#include "laburnumdyke/kernel/settings.h"
#include "laburnumdyke/plugin/block_buffer.h"
#include "laburnumdyke/plugin/http_server.h"

#include <map>
#include <optional>

namespace laburnumdyke {

// The budget, and the connections on which bodies are being read.
struct body_table
{
  static constexpr lock_rank kLockRank = lock_rank::Bodies;

  explicit body_table(const settings& aSettings);

  body_budget mBudget;
  // A stream is in the map only while its coroutine reads a body.
  std::map<holding_id, tcp_stream*> mReading;
};

// A request body, whole or in part.
class held_body
{
public:
  held_body() = default;
  held_body(table<body_table>& aTable, tcp_stream& aStream, instant aNow);
  ~held_body() { Release(); }
  held_body(held_body&& aOther) noexcept;
  held_body& operator=(held_body&& aOther) noexcept;

  const block_buffer& Bytes() const { return mBytes; }

private:
  friend class body_reader;

  void Release();

  table<body_table>* mTable = nullptr;
  holding_id mId = 0;
  block_buffer mBytes;
};

enum class body_end
{
  Whole,
  TooLarge,
  TooSlow,
  NoRoom, // the budget is exhausted, or the body was dropped for another one
  Broken, // the connection failed, or the body is malformed
};

struct body_read
{
  body_end mEnd = body_end::Broken;
  held_body mBody{}; // empty unless whole
};

// Reads the body of a request of at most aLimit bytes.
asio::awaitable<body_read>
ReadHeldBody(table<body_table>& aTable,
             http_exchange& aExchange,
             std::size_t aLimit);

// Counts the head of a request, which the parser holds, if it is large. Small
// heads are part of the fixed cost of a connection, so that ordinary requests
// need no room for theirs.
class held_head
{
public:
  explicit held_head(table<body_table>& aTable)
    : mTable(aTable)
  {
  }
  ~held_head();
  held_head(const held_head&) = delete;
  held_head& operator=(const held_head&) = delete;

  // Returns false if the budget has no room.
  bool Take(const http_exchange& aExchange);

private:
  // What a head that is not counted costs at most, in bytes.
  static constexpr std::size_t kSmallHead = 8192;
  // What the parser allocates for a field beside its name and value.
  static constexpr std::size_t kFieldCost = 96;

  table<body_table>& mTable;
  std::size_t mBytes = 0;
};

// The part of a response that has been received and not yet forwarded.
class held_response
{
public:
  explicit held_response(table<body_table>& aTable)
    : mTable(aTable)
  {
  }
  ~held_response();
  held_response(const held_response&) = delete;
  held_response& operator=(const held_response&) = delete;

  // Space for more bytes; empty if the budget has none. The first block is
  // always granted, so that a response proceeds.
  std::span<char> Space();
  block_buffer& Bytes() { return mBytes; }

  // When a caller must have taken aBytes.
  instant ReadBy(std::size_t aBytes, instant aNow);

private:
  table<body_table>& mTable;
  block_buffer mBytes;
  std::size_t mGranted = 0;
};

} // namespace laburnumdyke
