// Runs one awaitable to completion on its own io_context and returns its
// result. Blocks the calling thread; laburnumctl runs one operation at a time.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace laburnumdyke {

template<class Result>
Result
RunToCompletion(boost::asio::awaitable<Result> aWork)
{
  std::optional<Result> result;
  boost::asio::io_context context(1);
  boost::asio::co_spawn(
    context, std::move(aWork), [&result](std::exception_ptr, Result aResult) {
      result = std::move(aResult);
    });
  context.run();
  return std::move(*result);
}

} // namespace laburnumdyke
