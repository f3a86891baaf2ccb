// Reports of one moment, as after the loss of a rack, are sent together.
#include "laburnumdyke/plugin/restart_exchange.h"

#include "laburnumdyke/plugin/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kBatchTime{ 20 };
constexpr std::size_t kMaxKeptTurns = 4;

void
AddMessages(std::vector<addressed_message>& aMessages,
            const std::set<endpoint>& aTargets,
            const restart_message& aMessage)
{
  std::string bytes = EncodeRestarts(aMessage);
  for (const endpoint& target : aTargets) {
    aMessages.push_back({ target, bytes });
  }
}

} // namespace

restart_exchange::restart_exchange(kernel& aKernel,
                                   const message_link::strand& aStrand)
  : mKernel(aKernel)
  , mTables(aKernel)
  , mTimer(std::make_shared<asio::steady_timer>(aStrand, instant::max()))
{
  mTables.Restarts().With(
    [&](restart_outbox& aOutbox) { aOutbox.mWaiters.Add(mTimer); });
}

restart_exchange::~restart_exchange()
{
  mTables.Restarts().With(
    [&](restart_outbox& aOutbox) { aOutbox.mWaiters.Remove(mTimer); });
}

asio::awaitable<void>
restart_exchange::AwaitReports()
{
  while (mTables.Restarts().With(
    [](restart_outbox& aOutbox) { return aOutbox.mReports.empty(); })) {
    error_code ignored;
    co_await mTimer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_await SleepFor(kBatchTime);
}

std::vector<addressed_message>
restart_exchange::Compose()
{
  // Those beyond one message wait for the next call.
  restart_message message;
  mTables.Restarts().With([&](restart_outbox& aOutbox) {
    std::vector<restart_report>& waiting = aOutbox.mReports;
    auto end =
      waiting.begin() +
      static_cast<std::ptrdiff_t>(std::min(waiting.size(), kMaxRestartReports));
    message.mReports.assign(waiting.begin(), end);
    waiting.erase(waiting.begin(), end);
  });
  for (const restart_report& report : message.mReports) {
    Log(report, "own");
  }
  std::set<endpoint> region;
  std::set<endpoint> contacts;
  mTables.Fleet().With([&](fleet_state& aFleet) {
    for (const endpoint& target : aFleet.Targets()) {
      region.insert(target);
    }
    for (const endpoint& contact : aFleet.RemoteContacts(mSentCount)) {
      if (region.count(contact) == 0) {
        contacts.insert(contact);
      }
    }
  });
  ++mSentCount;
  std::vector<addressed_message> messages;
  AddMessages(messages, contacts, message);
  message.mRelayed = true; // nobody needs to pass it on
  AddMessages(messages, region, message);
  // Those of the last few messages, which may not have left yet.
  if (mTargets.size() > kMaxKeptTurns * contacts.size()) {
    mTargets.clear();
  }
  mTargets.insert(contacts.begin(), contacts.end());
  return messages;
}

std::vector<addressed_message>
restart_exchange::Receive(restart_message aMessage, instant aNow)
{
  for (const restart_report& report : aMessage.mReports) {
    std::optional<endpoint> restarted =
      mTables.Steering().With([&](steering_state& aSteering) {
        return aSteering.LearnRestart(report, aNow);
      });
    if (restarted) {
      mTables.Pool().With(
        [&](connection_pool& aPool) { aPool.Discard(*restarted); });
      Log(report, "peer");
    }
  }
  std::vector<addressed_message> messages;
  if (!aMessage.mRelayed) {
    aMessage.mRelayed = true;
    std::vector<endpoint> peers = mTables.Fleet().With(
      [&](fleet_state& aFleet) { return aFleet.DomainPeers(aNow); });
    AddMessages(messages, { peers.begin(), peers.end() }, aMessage);
  }
  return messages;
}

void
restart_exchange::Log(const restart_report& aReport, std::string_view aSource)
{
  mKernel.Counters().Add("upstream_restarts_suspected_total", aSource);
  mKernel.Log().Info(
    "upstream_restart_suspected",
    { { "upstream", aReport.mId.mValue }, { "source", std::string(aSource) } });
}

} // namespace laburnumdyke
