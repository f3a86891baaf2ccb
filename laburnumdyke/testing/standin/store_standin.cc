// A waiting call looks for changes on a timer: the model is small, and a test
// changes it from another thread.
#include "laburnumdyke/testing/standin/store_standin.h"

#include "platform/base64.h"
#include "platform/wire_names.h"

#include <boost/json.hpp>

namespace laburnumdyke {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kLookEvery{ 10 };
constexpr std::uint64_t kMostVersion = 1ULL << 40U;
constexpr std::uint64_t kLongestWait = 30000; // ms

std::string
Text(const request_target& aTarget, std::string_view aName)
{
  for (const query_parameter& parameter : aTarget.mQuery) {
    if (parameter.mName == aName) {
      return parameter.mValue;
    }
  }
  return {};
}

// Must run while the rows are locked, so that the stamp is no later than the
// next change.
std::string
Encode(const std::vector<model_row>& aRows, std::uint64_t aVersion)
{
  boost::json::array rows;
  for (const model_row& row : aRows) {
    boost::json::object one;
    one["table"] = row.mTable;
    one["part"] = "";
    one["key"] = row.mKey;
    one["ver"] = row.mVersion;
    if (row.mRemoved) {
      one["removed"] = true;
    } else {
      one["value"] = EncodeBase64(row.mValue);
    }
    rows.push_back(std::move(one));
  }
  boost::json::object answer;
  answer["rows"] = std::move(rows);
  answer["truncated"] = false;
  answer["ver"] = aVersion;
  answer["now-ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  return boost::json::serialize(answer);
}

} // namespace

std::optional<std::string>
store_standin::Start()
{
  return StartWhole(shared_from_this(), mListen, mAcceptor, mConnections);
}

asio::awaitable<std::optional<short_answer>>
store_standin::Perform(whole_request aRequest)
{
  if (mOutage) {
    co_return std::nullopt;
  }
  request_target target =
    SplitTarget({ aRequest.target().data(), aRequest.target().size() });
  std::string body;
  http::status status = http::status::ok;
  if (target.mPath == wire::kRowsPath) {
    body = Rows(target);
  } else if (target.mPath == wire::kFeedPath) {
    co_await AwaitChange(target);
    if (HasVersion(target)) {
      body = Feed(target);
    } else {
      status = http::status::gone;
    }
  } else if (target.mPath == wire::kTransactPath) {
    status =
      Transact(aRequest.body()) ? http::status::ok : http::status::bad_request;
  } else {
    status = http::status::not_found;
  }
  if (mOutage) {
    co_return std::nullopt;
  }
  short_answer answer = MakeAnswer(status, body, aRequest.keep_alive());
  SetEra(answer);
  co_return answer;
}

void
store_standin::SetEra(short_answer& aAnswer)
{
  std::uint64_t era = With([](store_model& aRows) { return aRows.Era(); });
  if (era != 0) {
    aAnswer.set(wire::kStoreEra, std::to_string(era));
  }
}

bool
store_standin::HasVersion(const request_target& aTarget)
{
  std::uint64_t after =
    ParseWhole(Text(aTarget, "after"), kMostVersion).value_or(0);
  return With([&](store_model& aRows) { return after <= aRows.Version(); });
}

asio::awaitable<void>
store_standin::AwaitChange(const request_target& aTarget)
{
  std::chrono::milliseconds wait(
    ParseWhole(Text(aTarget, "wait-ms"), kLongestWait).value_or(0));
  std::string table = Text(aTarget, "table");
  std::uint64_t after =
    ParseWhole(Text(aTarget, "after"), kMostVersion).value_or(0);
  std::chrono::steady_clock::time_point until =
    std::chrono::steady_clock::now() + wait;
  asio::steady_timer timer(mAcceptor.get_executor());
  auto changed = [&]() {
    return With(
      [&](store_model& aRows) { return !aRows.Changes(table, after).empty(); });
  };
  while (!changed() && !mOutage && std::chrono::steady_clock::now() < until) {
    timer.expires_after(kLookEvery);
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

std::string
store_standin::Rows(const request_target& aTarget)
{
  return With([&](store_model& aRows) {
    return Encode(aRows.Rows(Text(aTarget, "table")), aRows.Version());
  });
}

std::string
store_standin::Feed(const request_target& aTarget)
{
  std::uint64_t after =
    ParseWhole(Text(aTarget, "after"), kMostVersion).value_or(0);
  return With([&](store_model& aRows) {
    return Encode(aRows.Changes(Text(aTarget, "table"), after),
                  aRows.Version());
  });
}

bool
store_standin::Transact(const std::string& aBody)
{
  boost::system::error_code failure;
  boost::json::value body = boost::json::parse(aBody, failure);
  if (failure || !body.is_object()) {
    return false;
  }
  auto text = [](const boost::json::value& aRow, std::string_view aName) {
    return std::string(aRow.at(aName).as_string());
  };
  const boost::json::object& parts = body.get_object();
  With([&](store_model& aRows) {
    for (const boost::json::value& row : parts.at("put-rows").as_array()) {
      aRows.Put(text(row, "table"),
                text(row, "key"),
                DecodeBase64(text(row, "value")).value_or(""));
    }
    for (const boost::json::value& row : parts.at("delete-rows").as_array()) {
      aRows.Remove(text(row, "table"), text(row, "key"));
    }
  });
  return true;
}

std::optional<std::string>
store_entrance::Start()
{
  return StartWhole(shared_from_this(), mListen, mAcceptor, mConnections);
}

asio::awaitable<std::optional<short_answer>>
store_entrance::Perform(whole_request aRequest)
{
  if (mTurnsAway) {
    co_return std::nullopt;
  }
  std::optional<short_answer> answer =
    co_await mStore->Perform(std::move(aRequest));
  if (mTurnsAway) {
    co_return std::nullopt;
  }
  co_return answer;
}

void
store_entrance::TurnAway(bool aTurnAway)
{
  mTurnsAway = aTurnAway;
  if (aTurnAway) {
    std::shared_ptr<store_entrance> self = shared_from_this();
    asio::post(mAcceptor.get_executor(),
               [self]() { self->mConnections.CloseAll(); });
  }
}

} // namespace laburnumdyke
