// A blocking HTTP client, and tables of requests with the answers expected, for
// the tests of the stand-ins. Waits are for events with a generous limit; no
// verdict is on their length.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace laburnumdyke {

inline constexpr unsigned kClosed = 0; // closed without an answer

struct reply
{
  unsigned mStatus = kClosed;
  boost::beast::http::response<boost::beast::http::string_body> mMessage;

  std::string Header(const char* aName) const
  {
    return std::string(mMessage[aName]);
  }
};

// A blocking connection.
class client
{
public:
  explicit client(std::uint16_t aPort)
    : mSocket(mContext)
  {
    boost::system::error_code failure;
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), aPort },
                    failure);
    mConnected = !failure;
  }

  void Send(std::string_view aBytes)
  {
    boost::system::error_code ignored;
    boost::asio::write(
      mSocket, boost::asio::buffer(aBytes.data(), aBytes.size()), ignored);
  }

  reply Receive(bool aHead = false)
  {
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(aHead);
    boost::system::error_code failure;
    boost::beast::http::read(mSocket, mBuffer, parser, failure);
    if (failure) {
      return {};
    }
    reply result{ parser.get().result_int(), parser.release() };
    return result;
  }

  bool ReadsEnd()
  {
    char byte = 0;
    boost::system::error_code failure;
    mSocket.read_some(boost::asio::buffer(&byte, 1), failure);
    return static_cast<bool>(failure);
  }

  void Close() { mSocket.close(); }

  bool mConnected = false;

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
};

inline std::string
Request(std::string_view aLine,
        std::string_view aFields = "",
        std::string_view aBody = "")
{
  return std::string(aLine) + " HTTP/1.1\r\nHost: x\r\n" +
         std::string(aFields) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         std::string(aBody);
}

inline reply
Exchange(std::uint16_t aPort, std::string_view aRequest)
{
  client connection(aPort);
  connection.Send(aRequest);
  return connection.Receive(aRequest.substr(0, 5) == "HEAD ");
}

inline reply
Control(std::uint16_t aPort, std::string_view aJson)
{
  return Exchange(aPort, Request("POST /control", "", aJson));
}

// A number of a JSON page, by JSON pointer; -1 where it is missing.
inline std::int64_t
Number(std::uint16_t aPort, const char* aPage, const char* aPointer)
{
  reply page = Exchange(aPort, Request(std::string("GET ") + aPage));
  boost::system::error_code failure;
  boost::json::value parsed = boost::json::parse(page.mMessage.body(), failure);
  const boost::json::value* found =
    failure ? nullptr : parsed.find_pointer(aPointer, failure);
  return found && found->is_int64() ? found->get_int64() : -1;
}

inline std::int64_t
Counter(std::uint16_t aPort, const char* aPointer)
{
  return Number(aPort, "/control", aPointer);
}

inline bool
Eventually(const std::function<bool()>& aHolds)
{
  constexpr int kAttempts = 10000;
  for (int i = 0; i < kAttempts; i++) {
    if (aHolds()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return false;
}

// Runs a context on a thread of its own.
class background
{
public:
  background()
    : mGuard(mContext.get_executor())
    , mThread([this]() { mContext.run(); })
  {
  }
  ~background() { Join(); }
  background(const background&) = delete;
  background& operator=(const background&) = delete;

  void Join()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  boost::asio::io_context mContext;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard;
  std::thread mThread;
};

struct exchange_row
{
  const char* mName;
  std::string mRequest;
  unsigned mStatus;
  const char* mHeader; // nullptr: none is checked
  const char* mValue;
  const char* mBody; // contained in the body
};

inline void
CheckRows(std::uint16_t aPort, const std::vector<exchange_row>& aRows)
{
  for (const exchange_row& row : aRows) {
    reply got = Exchange(aPort, row.mRequest);
    UNSIGNED_LONGS_EQUAL_TEXT(row.mStatus, got.mStatus, row.mName);
    if (row.mHeader) {
      STRCMP_EQUAL_TEXT(row.mValue, got.Header(row.mHeader).c_str(), row.mName);
    }
    STRCMP_CONTAINS_TEXT(row.mBody, got.mMessage.body().c_str(), row.mName);
  }
}

inline std::string
Field(std::string_view aName, std::string_view aValue)
{
  return std::string(aName) + ": " + std::string(aValue) + "\r\n";
}

inline const std::string kId = "Laburnumdyke-Request-Id";
inline const std::string kDeadline = "Laburnumdyke-Deadline-Ms";

// A request whose body never comes: it holds a slot without running.
inline std::string
HeldRequest(std::string_view aFields = "")
{
  return "POST /held HTTP/1.1\r\nHost: x\r\n" + std::string(aFields) +
         "Content-Length: 5\r\n\r\n";
}

} // namespace laburnumdyke
