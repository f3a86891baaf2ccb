// The reader takes a block of the budget before it fills it. It drives the
// parser itself: http::async_read_some would keep the last bytes of a piece to
// itself until more arrives, while they already exceed the limit. A body that
// is dropped for another one may be waiting for bytes; its wait is cancelled on
// its own strand, and its coroutine then finds that it was dropped.
#include "laburnumdyke/plugin/held_body.h"

#include <malloc.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace laburnumdyke {

// A dropped body whose coroutine may wait for bytes.
struct dropped_reader
{
  holding_id mId;
  asio::any_io_executor mExecutor;
  tcp_stream* mStream;
};

namespace {

// Two thirds: a machine of 112 MB then holds one body of 64 MB beside the
// reserve for small ones, and keeps 37 MB for the program, whose size without
// requests is below 25 MB, and for the buffers of the kernel.
constexpr std::uint64_t kMemoryParts = 3;
constexpr std::uint64_t kBudgetParts = 2;
constexpr std::size_t kUnknownMemory = 64UL * 1024 * 1024;
// A dropped body is released as soon as its coroutine runs.
constexpr std::chrono::milliseconds kRoomWait{ 500 };
constexpr std::chrono::milliseconds kRoomPoll{ 2 };
constexpr std::size_t kReceive = 4096; // bytes

std::size_t
DefaultBudget(std::size_t aProcessMemory)
{
  std::uint64_t memory = aProcessMemory;
  struct sysinfo machine;
  if (memory == 0 && ::sysinfo(&machine) != 0) {
    return kUnknownMemory;
  }
  if (memory == 0) {
    memory = static_cast<std::uint64_t>(machine.totalram) * machine.mem_unit;
  }
  return memory * kBudgetParts / kMemoryParts;
}

body_budget_options
BudgetOptions(const client_bounds& aLimits)
{
  return { aLimits.mBodyMemory > 0 ? aLimits.mBodyMemory
                                   : DefaultBudget(aLimits.mProcessMemory),
           aLimits.mBodyRate,
           aLimits.mBodyGrace,
           aLimits.mReaderRate,
           aLimits.mReaderGrace };
}

instant
Now()
{
  return std::chrono::steady_clock::now();
}

std::vector<dropped_reader>
TakeDropped(body_table& aBodies)
{
  std::vector<dropped_reader> dropped;
  for (holding_id id : aBodies.mBudget.TakeDropped()) {
    std::map<holding_id, tcp_stream*>::iterator found =
      aBodies.mReading.find(id);
    if (found != aBodies.mReading.end()) {
      dropped.push_back({ id, found->second->get_executor(), found->second });
    }
  }
  return dropped;
}

// Runs on the strand of the stream, whose coroutine removes it from mReading on
// that strand too: if it is there, it exists.
void
CancelReader(table<body_table>& aTable, const dropped_reader& aReader)
{
  bool reading = aTable.With([&](body_table& aBodies) {
    return aBodies.mReading.count(aReader.mId) > 0;
  });
  if (reading) {
    aReader.mStream->cancel();
  }
}

} // namespace

body_table::body_table(const settings& aSettings)
  : mBudget(BudgetOptions(aSettings.mLimits))
{
}

held_body::held_body(table<body_table>& aTable,
                     tcp_stream& aStream,
                     instant aNow)
  : mTable(&aTable)
{
  mId = aTable.With([&](body_table& aBodies) {
    holding_id id = aBodies.mBudget.Open(aNow);
    aBodies.mReading.emplace(id, &aStream);
    return id;
  });
}

held_body::held_body(held_body&& aOther) noexcept
  : mTable(std::exchange(aOther.mTable, nullptr))
  , mId(aOther.mId)
  , mBytes(std::move(aOther.mBytes))
{
}

held_body&
held_body::operator=(held_body&& aOther) noexcept
{
  std::swap(mTable, aOther.mTable);
  std::swap(mId, aOther.mId);
  std::swap(mBytes, aOther.mBytes);
  return *this;
}

void
held_body::Release()
{
  if (mTable == nullptr) {
    return;
  }
  mBytes = block_buffer(); // before its bytes are given to another body
  mTable->With([&](body_table& aBodies) {
    aBodies.mReading.erase(mId);
    aBodies.mBudget.Close(mId);
  });
}

class body_reader
{
public:
  body_reader(table<body_table>& aTable,
              http_exchange& aExchange,
              std::size_t aLimit)
    : mTable(aTable)
    , mExchange(aExchange)
    , mLimit(aLimit)
    , mBody(aTable, aExchange.mStream, Now())
  {
    boost::optional<std::uint64_t> length =
      aExchange.mParser.content_length_remaining();
    if (length) {
      mLength = *length;
    }
  }

  asio::awaitable<body_read> Read()
  {
    body_end end = Admit();
    if (end == body_end::Whole) {
      co_await SendContinue(mExchange);
      mExchange.mParser.eager(true);
    }
    while (end == body_end::Whole && !mExchange.mParser.is_done()) {
      end = co_await MakeSpace();
      if (end == body_end::Whole) {
        end = co_await ReadSome();
      }
    }
    if (end == body_end::Whole) {
      end = BeginWork();
    }
    if (end != body_end::Whole) {
      co_return body_read{ end };
    }
    co_return body_read{ end, std::move(mBody) };
  }

private:
  // From the declared length alone. Whole: the body may be read.
  body_end Admit()
  {
    if (!mLength) {
      return body_end::Whole;
    }
    std::size_t length = *mLength;
    std::size_t occupied = block_buffer::Occupied(length);
    return mTable.With([&](body_table& aBodies) {
      if (length > mLimit || !aBodies.mBudget.Fits(occupied)) {
        return body_end::TooLarge;
      }
      return aBodies.mBudget.HasRoomFor(occupied, Now()) ? body_end::Whole
                                                         : body_end::NoRoom;
    });
  }

  asio::awaitable<body_end> MakeSpace()
  {
    block_buffer& bytes = mBody.mBytes;
    if (!bytes.Space().empty()) {
      co_return body_end::Whole;
    }
    std::size_t wanted = bytes.NextBlock();
    if (mLength && *mLength > bytes.Size()) {
      wanted = std::min<std::size_t>(wanted, *mLength - bytes.Size());
    }
    wanted = block_buffer::Occupied(wanted);
    instant until = Now() + kRoomWait;
    room_answer room = Take(wanted);
    while (room == room_answer::Later && Now() < until) {
      co_await SleepFor(kRoomPoll);
      room = Take(wanted);
    }
    if (room != room_answer::Granted) {
      co_return body_end::NoRoom;
    }
    bytes.Grow(wanted);
    co_return body_end::Whole;
  }

  room_answer Take(std::size_t aBytes)
  {
    std::vector<dropped_reader> dropped;
    room_answer room = mTable.With([&](body_table& aBodies) {
      room_answer answer = aBodies.mBudget.Take(mBody.mId, aBytes, Now());
      dropped = TakeDropped(aBodies);
      return answer;
    });
    for (const dropped_reader& reader : dropped) {
      asio::post(reader.mExecutor,
                 [&bodies = mTable, reader] { CancelReader(bodies, reader); });
    }
    return room;
  }

  // Parses what has been received, or else receives more.
  asio::awaitable<body_end> ReadSome()
  {
    std::span<char> space = mBody.mBytes.Space();
    request_parser& parser = mExchange.mParser;
    parser.get().body().data = space.data();
    parser.get().body().size = space.size();
    parser.get().body().more = true;
    error_code failure = http::error::need_more;
    if (mExchange.mBuffer.size() > 0) {
      mExchange.mBuffer.consume(parser.put(mExchange.mBuffer.data(), failure));
    }
    std::size_t got = space.size() - parser.get().body().size;
    mBody.mBytes.Commit(got);
    if (failure == http::error::need_more) {
      failure = {};
      if (got == 0) {
        failure = co_await Receive();
      }
    }
    co_return Judge(failure, got);
  }

  asio::awaitable<error_code> Receive()
  {
    beast::flat_buffer& buffer = mExchange.mBuffer;
    std::size_t room = std::min(kReceive, buffer.max_size() - buffer.size());
    if (room == 0) {
      co_return http::error::buffer_overflow;
    }
    error_code failure;
    mExchange.mStream.expires_at(mTable.With([&](body_table& aBodies) {
      return aBodies.mBudget.TooSlowAt(mBody.mId);
    }));
    buffer.commit(co_await mExchange.mStream.async_read_some(
      buffer.prepare(room),
      asio::redirect_error(asio::use_awaitable, failure)));
    co_return failure;
  }

  body_end Judge(error_code aFailure, std::size_t aGot)
  {
    bool dropped = false;
    bool slow = false;
    mTable.With([&](body_table& aBodies) {
      instant now = Now();
      aBodies.mBudget.CountProgress(mBody.mId, aGot, now);
      dropped = aBodies.mBudget.IsDropped(mBody.mId);
      slow = aBodies.mBudget.IsTooSlow(mBody.mId, now);
    });
    if (dropped) {
      return body_end::NoRoom;
    }
    if (slow || aFailure == beast::error::timeout) {
      return body_end::TooSlow;
    }
    if (aFailure && aFailure != http::error::need_buffer) {
      return body_end::Broken;
    }
    return mBody.mBytes.Size() > mLimit ? body_end::TooLarge : body_end::Whole;
  }

  // The body is complete: from here on it is not dropped for another one.
  body_end BeginWork()
  {
    return mTable.With([&](body_table& aBodies) {
      aBodies.mReading.erase(mBody.mId);
      if (aBodies.mBudget.IsDropped(mBody.mId)) {
        return body_end::NoRoom;
      }
      aBodies.mBudget.BeginWork(mBody.mId);
      return body_end::Whole;
    });
  }

  table<body_table>& mTable;
  http_exchange& mExchange;
  std::size_t mLimit;
  held_body mBody;
  std::optional<std::uint64_t> mLength; // if it was declared
};

asio::awaitable<body_read>
ReadHeldBody(table<body_table>& aTable,
             http_exchange& aExchange,
             std::size_t aLimit)
{
  if (aExchange.mParser.is_done()) {
    co_return body_read{ body_end::Whole };
  }
  body_reader reader(aTable, aExchange, aLimit);
  co_return co_await reader.Read();
}

held_head::~held_head()
{
  if (mBytes == 0) {
    return;
  }
  bool trim = mTable.With(
    [&](body_table& aBodies) { return aBodies.mBudget.ReturnOfHead(mBytes); });
  if (trim) {
    ::malloc_trim(0);
  }
}

bool
held_head::Take(const http_exchange& aExchange)
{
  std::size_t bytes = aExchange.mBuffer.capacity();
  for (const http::fields::value_type& field : aExchange.Head()) {
    bytes += field.name_string().size() + field.value().size() + kFieldCost;
  }
  if (bytes <= kSmallHead) {
    return true;
  }
  if (!mTable.With([&](body_table& aBodies) {
        return aBodies.mBudget.TakeForHead(bytes);
      })) {
    return false;
  }
  mBytes = bytes;
  return true;
}

held_response::~held_response()
{
  mBytes = block_buffer();
  mTable.With(
    [&](body_table& aBodies) { aBodies.mBudget.ReturnOfResponse(mGranted); });
}

std::span<char>
held_response::Space()
{
  std::span<char> space = mBytes.Space();
  if (!space.empty()) {
    return space;
  }
  std::size_t wanted = mBytes.NextBlock();
  std::size_t granted = mTable.With([&](body_table& aBodies) {
    std::size_t taken = aBodies.mBudget.TakeForResponse(wanted);
    if (taken < wanted) {
      aBodies.mBudget.ReturnOfResponse(taken);
      taken = 0;
    }
    return taken;
  });
  if (granted == 0 && mBytes.Capacity() > 0) {
    return {};
  }
  mGranted += granted;
  mBytes.Grow(wanted);
  return mBytes.Space();
}

instant
held_response::ReadBy(std::size_t aBytes, instant aNow)
{
  return aNow + mTable.With([&](body_table& aBodies) {
    return aBodies.mBudget.ReaderLimit(aBytes);
  });
}

} // namespace laburnumdyke
