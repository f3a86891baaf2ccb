// A request for work to the upstream stand-in, read from its HTTP header.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace laburnumdyke {

inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::chrono::milliseconds kMaxServiceTime{ 600000 };
inline constexpr std::uint64_t kMaxAnswerBytes = 1ull << 32;

struct work_request
{
  std::string mId; // empty: none given
  std::chrono::milliseconds mServiceTime{ 0 };
  std::uint64_t mAnswerBytes = 0;
  std::uint64_t mSeed = 0;
  std::optional<std::chrono::milliseconds> mRemaining; // of the deadline
  bool mHeadOnly = false;                              // HEAD
  bool mExpectsContinue = false;
};

struct work_request_result
{
  std::optional<work_request> mRequest; // nothing where there is a fault
  std::string mFault;
};

work_request_result
ParseWorkRequest(
  const boost::beast::http::request_header<boost::beast::http::fields>&
    aHeader);

} // namespace laburnumdyke
