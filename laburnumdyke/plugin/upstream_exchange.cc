// The steps are: connect, write the request, read headers until one belongs to
// this request, buffer the first part of the body, forward it. The outcome of a
// failure depends on the step: before the first byte is written, the request
// can't have run.
#include "laburnumdyke/plugin/upstream_exchange.h"

#include "laburnumdyke/plugin/http_parts.h"
#include "laburnumdyke/plugin/upstream_answer.h"
#include "laburnumdyke/plugin/upstream_connection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <variant>

namespace laburnumdyke {

namespace {

using namespace asio::experimental::awaitable_operators;

using clock = std::chrono::steady_clock;

// For reading the rest of a refusal; short, since the request is then tried
// elsewhere.
constexpr std::chrono::milliseconds kRefusalTimeout{ 100 };

attempt_ending
EndOf(error_code aFailure)
{
  if (aFailure == http::error::bad_status) {
    return attempt_ending::Garbled;
  }
  return aFailure == beast::error::timeout ? attempt_ending::TimedOut
                                           : attempt_ending::Lost;
}

// Decides from the header alone. Returns nullopt if the answer is to be
// forwarded.
std::optional<attempt_ending>
DecideFromHeader(const upstream_connection& aConnection,
                 const upstream_attempt& aAttempt)
{
  const answer_attributes& answer = aConnection.mAnswer;
  // On a connection that carried an answer to another request, a refusal that
  // names no request may belong to another request, too.
  bool isNamed = answer.mBelongs == answer_attributes::belongs::ToThisRequest;
  bool accepted = isNamed || aConnection.mClean;
  if (answer.mWrongInstance && accepted) {
    return attempt_ending::WrongInstance;
  }
  if (answer.mNotRun && accepted) {
    return attempt_ending::NotRun;
  }
  if (!answer.mValid || !isNamed) {
    return attempt_ending::Lost;
  }
  bool isError = aConnection.mParser->get().result_int() >= 500;
  if (isError && aAttempt.mWithholdErrors) {
    return attempt_ending::Errored;
  }
  return std::nullopt;
}

} // namespace

std::string_view
ToString(attempt_ending aEnd)
{
  switch (aEnd) {
    case attempt_ending::Answered:
      return "answered";
    case attempt_ending::NotSent:
      return "not_sent";
    case attempt_ending::UpstreamLeaving:
      return "upstream_leaving";
    case attempt_ending::NotRun:
      return "not_run";
    case attempt_ending::WrongInstance:
      return "wrong_instance";
    case attempt_ending::Errored:
      return "errored";
    case attempt_ending::Lost:
      return "lost";
    case attempt_ending::Garbled:
      return "garbled";
    case attempt_ending::TimedOut:
      return "timed_out";
    case attempt_ending::CutShort:
      return "cut_short";
    case attempt_ending::CallerGone:
      return "caller_gone";
  }
  return "unknown";
}

std::string_view
ToString(connect_failure aFailure)
{
  switch (aFailure) {
    case connect_failure::None:
      return "none";
    case connect_failure::Refused:
      return "refused";
    case connect_failure::TimedOut:
      return "timed_out";
    case connect_failure::Other:
      return "other";
  }
  return "unknown";
}

asio::awaitable<attempt_outcome>
AttemptUpstream(const exchange_tables& aTables,
                http_exchange& aExchange,
                const upstream_attempt& aAttempt)
{
  attempt_outcome outcome;
  upstream_connection connection;
  error_code failure =
    co_await ConnectUpstream(aTables.mPool, aAttempt, connection, outcome);
  if (failure) {
    co_return outcome;
  }
  // The caller may have left while the connection was being set up.
  if (outcome.mConnect && IsCallerGone(aExchange)) {
    outcome.mEnd = attempt_ending::CallerGone;
    co_return outcome;
  }
  // The upstream may have begun to leave meanwhile.
  if (!aAttempt.mMaySend()) {
    outcome.mEnd = attempt_ending::UpstreamLeaving;
    co_return outcome;
  }
  error_code sendFailure =
    co_await SendRequest(aExchange, aAttempt, connection);
  if (sendFailure == beast::error::timeout) {
    outcome.mEnd = attempt_ending::TimedOut;
    co_return outcome;
  }
  // An upstream that closes its connection before it has read the body may have
  // answered.
  connection.mSentWhole = !sendFailure;
  if (aAttempt.mIdempotent) {
    std::variant<error_code, std::monostate> first =
      co_await (ReadAnswerHead(aExchange, aAttempt, connection) ||
                WaitCallerGone(aExchange));
    if (first.index() == 1) {
      aExchange.mKeepAlive = false;
      outcome.mEnd = attempt_ending::CallerGone;
      co_return outcome;
    }
    failure = std::get<0>(first);
  } else {
    failure = co_await ReadAnswerHead(aExchange, aAttempt, connection);
  }
  if (failure) {
    outcome.mEnd = EndOf(sendFailure ? sendFailure : failure);
    // The peer acknowledges nothing more. Other idle connections may have gone
    // silent too; a new one shows whether the upstream has.
    if (failure == asio::error::timed_out) {
      aTables.mPool.With(
        [&](connection_pool& aPool) { aPool.Discard(aAttempt.mTo); });
    }
    co_return outcome;
  }
  outcome.mStatus = connection.mParser->get().result_int();
  outcome.mLoad = connection.mAnswer.mLoad;
  outcome.mMalformedLoad = connection.mAnswer.mMalformedLoad;
  std::optional<attempt_ending> decided =
    DecideFromHeader(connection, aAttempt);
  if (decided) {
    outcome.mEnd = *decided;
    if (*decided != attempt_ending::Lost) {
      failure = co_await DiscardBody(
        connection,
        std::min(aAttempt.mDeadline, clock::now() + kRefusalTimeout));
      if (!failure) {
        KeepConnection(aTables.mPool, aAttempt, connection);
      }
    }
    co_return outcome;
  }
  held_response buffered(aTables.mBodies);
  failure = co_await BufferBody(connection, buffered, aAttempt.mDeadline);
  if (failure) {
    outcome.mEnd = EndOf(failure);
    co_return outcome;
  }
  failure =
    co_await ForwardAnswer(aExchange, aAttempt, connection, buffered, outcome);
  if (failure) {
    aExchange.mKeepAlive = false;
    outcome.mEnd = attempt_ending::CutShort;
    co_return outcome;
  }
  outcome.mEnd = attempt_ending::Answered;
  KeepConnection(aTables.mPool, aAttempt, connection);
  co_return outcome;
}

} // namespace laburnumdyke
