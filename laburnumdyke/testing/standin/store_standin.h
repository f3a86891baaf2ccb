// A stand-in for the users' store: rows over HTTP/1.1, with an outage that
// tests switch.
//
// Usage:
//   store_standin store(context, { "127.0.0.1", 0 });
//   std::optional<std::string> failure = store.Start();
//   store.With([](store_model& aRows) { aRows.Put("op", "config", bytes); });
//   store.SetOutage(true);
//
// It serves what the product calls: rows-get (as one page), rows-feed with its
// wait, and rows-tx without conditions. Answers that show rows are stamped with
// the time of a steady clock. In an outage connections are closed unanswered.
// Once the model has an era, every response reports it in Store-Era, also one
// that refuses a call. A feed from a version that the model does not have gets
// 410. The context must outlive it; With and SetOutage may be called from any
// thread.
//
// A store_entrance is a further address of the same store, for one instance,
// which can be turned away there while the store serves others.
#pragma once

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/standin/store_model.h"
#include "laburnumdyke/testing/standin/whole_session.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace laburnumdyke {

class store_standin : public std::enable_shared_from_this<store_standin>
{
public:
  // For ServeWhole.
  static constexpr std::uint64_t kMaxBody = 1ULL << 20U;

  store_standin(boost::asio::io_context& aContext, endpoint aListen)
    : mListen(std::move(aListen))
    , mAcceptor(aContext)
  {
  }

  std::optional<std::string> Start();

  template<class Function>
  auto With(Function aFunction)
  {
    std::scoped_lock lock(mMutex);
    return aFunction(mRows);
  }

  void SetOutage(bool aOutage) { mOutage = aOutage; }

  // For ServeWhole.
  boost::asio::awaitable<std::optional<short_answer>> Perform(
    whole_request aRequest);
  void Malformed() {}

private:
  // Puts the era into an answer of any status.
  void SetEra(short_answer& aAnswer);
  bool HasVersion(const request_target& aTarget);
  // Waits until the table has changed or the wait is over.
  boost::asio::awaitable<void> AwaitChange(const request_target& aTarget);
  std::string Rows(const request_target& aTarget);
  std::string Feed(const request_target& aTarget);
  bool Transact(const std::string& aBody);

  endpoint mListen;
  boost::asio::ip::tcp::acceptor mAcceptor;
  connection_set mConnections;
  std::mutex mMutex;
  store_model mRows;
  std::atomic<bool> mOutage{ false };
};

class store_entrance : public std::enable_shared_from_this<store_entrance>
{
public:
  // For ServeWhole.
  static constexpr std::uint64_t kMaxBody = store_standin::kMaxBody;

  store_entrance(boost::asio::io_context& aContext,
                 endpoint aListen,
                 std::shared_ptr<store_standin> aStore)
    : mListen(std::move(aListen))
    , mAcceptor(aContext)
    , mStore(std::move(aStore))
  {
  }

  std::optional<std::string> Start();

  // Closes connections unanswered from now on, or serves again. May be called
  // from any thread.
  void TurnAway(bool aTurnAway);

  // For ServeWhole.
  boost::asio::awaitable<std::optional<short_answer>> Perform(
    whole_request aRequest);
  void Malformed() {}

private:
  endpoint mListen;
  boost::asio::ip::tcp::acceptor mAcceptor;
  connection_set mConnections;
  std::shared_ptr<store_standin> mStore;
  std::atomic<bool> mTurnsAway{ false };
};

} // namespace laburnumdyke
