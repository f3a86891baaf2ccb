// One coroutine a connection, all on one strand, so that the model needs no
// lock. While work is under way the coroutine waits for its timer and watches
// the socket: a peer that closes cancels the work.
#include "laburnumdyke/testing/standin/upstream_standin.h"

#include "laburnumdyke/testing/standin/connections.h"
#include "laburnumdyke/testing/standin/http_exchange.h"
#include "laburnumdyke/testing/standin/socket_watch.h"
#include "laburnumdyke/testing/standin/upstream_pages.h"
#include "laburnumdyke/testing/standin/work_request.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace laburnumdyke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kReadBuffer = 16384;
constexpr std::size_t kMaxControlBytes = 65536;
constexpr std::string_view kNotRunField = "Upstream-Not-Run";

using body_parser = http::request_parser<http::buffer_body>;

std::chrono::steady_clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

// How a wait for work, or a write of an answer, ended.
enum class step_end
{
  Done,
  Closed,
  DeadlinePassed,
};

} // namespace

std::string
AnswerBlock(std::uint64_t aSeed)
{
  std::string block(kAnswerBlock, '\0');
  std::mt19937_64 generator(aSeed);
  for (char& byte : block) {
    byte = static_cast<char>('a' + generator() % 26);
  }
  return block;
}

class upstream_standin::server : public std::enable_shared_from_this<server>
{
public:
  server(asio::io_context& aContext, upstream_standin_options aOptions)
    : mOptions(std::move(aOptions))
    , mStrand(asio::make_strand(aContext))
    , mAcceptor(mStrand)
    , mControlAcceptor(mStrand)
    , mThaw(mStrand, instant::max())
    , mModel(mOptions.mModel, Now())
  {
    mModel.SetFaults(Now(), mOptions.mFaults);
  }

  std::optional<std::string> Start();
  void Stop();

  std::uint16_t mPort = 0;
  std::uint16_t mControlPort = 0;

private:
  // One connection's state between its requests.
  struct session
  {
    session(connection_set& aSet, tcp::socket aSocket)
      : mSocket(std::make_shared<tcp::socket>(std::move(aSocket)))
      , mGuard(aSet, *mSocket)
      , mBuffer(kStandinHeaderLimit + kReadBuffer)
    {
    }

    shared_socket mSocket;
    connection_guard mGuard;
    beast::flat_buffer mBuffer;
    bool mControlAlone = false;
    bool mOpen = true; // goes on after the present request
  };

  // Frees the slot of work that is abandoned wherever its coroutine ends.
  struct slot
  {
    explicit slot(upstream_model& aModel)
      : mModel(aModel)
    {
    }
    ~slot()
    {
      if (mHeld) {
        mModel.Release(Now(), work_end::Cancelled);
      }
    }
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;

    void End(work_end aEnd)
    {
      mHeld = false;
      mModel.Release(Now(), aEnd);
    }
    void EndUnrun(upstream_refusal aReason)
    {
      mHeld = false;
      mModel.ReleaseUnrun(Now(), aReason);
    }

    upstream_model& mModel;
    bool mHeld = true;
  };

  asio::awaitable<void> Accepted([[maybe_unused]] std::shared_ptr<server> aSelf,
                                 tcp::socket aSocket);
  asio::awaitable<void> AcceptedControl(
    [[maybe_unused]] std::shared_ptr<server> aSelf,
    tcp::socket aSocket);
  asio::awaitable<void> ServeOne(session& aSession);
  asio::awaitable<void> ServeWork(session& aSession, body_parser& aParser);
  asio::awaitable<void> RunWork(session& aSession,
                                body_parser& aParser,
                                const work_request& aRequest);
  asio::awaitable<step_end> ReadBody(session& aSession,
                                     body_parser& aParser,
                                     instant aDeadline,
                                     std::uint64_t& aBytes);
  asio::awaitable<step_end> Work(session& aSession,
                                 instant aUntil,
                                 instant aDeadline);
  asio::awaitable<step_end> Answer(session& aSession,
                                   const work_request& aRequest,
                                   std::uint64_t aReceived,
                                   instant aDeadline);
  asio::awaitable<void> ServeControl(session& aSession, body_parser& aParser);
  asio::awaitable<void> SendShort(session& aSession, short_answer aAnswer);
  asio::awaitable<void> Refuse(session& aSession,
                               body_parser& aParser,
                               upstream_refusal aReason);
  asio::awaitable<void> Discard(session& aSession, body_parser& aParser);
  asio::awaitable<void> Thawed(const session& aSession);

  std::optional<std::string> Control(const std::string& aBody);

  upstream_standin_options mOptions;
  asio::any_io_executor mStrand;
  tcp::acceptor mAcceptor;
  tcp::acceptor mControlAcceptor;
  asio::steady_timer mThaw; // cancelled when frozen ends
  connection_set mConnections;
  connection_set mControlConnections;
  upstream_model mModel;
};

std::optional<std::string>
upstream_standin::server::Start()
{
  std::optional<std::string> failure = Listen(mAcceptor, mOptions.mListen);
  if (!failure && mOptions.mControlListen) {
    failure = Listen(mControlAcceptor, *mOptions.mControlListen);
  }
  if (failure) {
    return failure;
  }
  std::shared_ptr<server> self = shared_from_this();
  mPort = mAcceptor.local_endpoint().port();
  asio::co_spawn(mStrand,
                 AcceptLoop(self,
                            mAcceptor,
                            [self](tcp::socket aSocket) {
                              return self->Accepted(self, std::move(aSocket));
                            }),
                 asio::detached);
  if (mOptions.mControlListen) {
    mControlPort = mControlAcceptor.local_endpoint().port();
    asio::co_spawn(mStrand,
                   AcceptLoop(self,
                              mControlAcceptor,
                              [self](tcp::socket aSocket) {
                                return self->AcceptedControl(
                                  self, std::move(aSocket));
                              }),
                   asio::detached);
  }
  return std::nullopt;
}

void
upstream_standin::server::Stop()
{
  asio::post(mStrand, [self = shared_from_this()]() {
    beast::error_code ignored;
    self->mAcceptor.close(ignored);
    self->mControlAcceptor.close(ignored);
    self->mConnections.CloseAll();
    self->mControlConnections.CloseAll();
    upstream_faults faults = self->mModel.Faults();
    faults.mFrozen = false;
    self->mModel.SetFaults(Now(), faults);
    self->mThaw.cancel();
  });
}

asio::awaitable<void>
upstream_standin::server::Accepted(
  [[maybe_unused]] std::shared_ptr<server> aSelf,
  tcp::socket aSocket)
{
  if (mConnections.Size() >= mOptions.mConnections) {
    mModel.Counters().mOverConnections++;
    CloseSocket(aSocket);
    co_return;
  }
  {
    session current(mConnections, std::move(aSocket));
    mModel.SetConnections(Now(), mConnections.Size());
    while (current.mOpen) {
      co_await ServeOne(current);
    }
    CloseSocket(*current.mSocket);
  }
  mModel.SetConnections(Now(), mConnections.Size());
}

asio::awaitable<void>
upstream_standin::server::AcceptedControl(
  [[maybe_unused]] std::shared_ptr<server> aSelf,
  tcp::socket aSocket)
{
  session current(mControlConnections, std::move(aSocket));
  current.mControlAlone = true;
  while (current.mOpen) {
    co_await ServeOne(current);
  }
  CloseSocket(*current.mSocket);
}

asio::awaitable<void>
upstream_standin::server::ServeOne(session& aSession)
{
  body_parser parser;
  parser.header_limit(kStandinHeaderLimit);
  parser.body_limit(boost::none);
  beast::error_code failure;
  aSession.mGuard.SetIdle(true);
  co_await http::async_read_header(
    *aSession.mSocket,
    aSession.mBuffer,
    parser,
    asio::redirect_error(asio::use_awaitable, failure));
  aSession.mGuard.SetIdle(false);
  if (failure) {
    aSession.mOpen = false;
    std::optional<http::status> status = StatusForReadFailure(failure);
    if (status) {
      mModel.Counters().mMalformed++;
      co_await SendShort(
        aSession, MakeAnswer(*status, ErrorJson(failure.message()), false));
    }
    co_return;
  }
  aSession.mOpen = parser.keep_alive();
  beast::string_view target = parser.get().target();
  std::string path = SplitTarget({ target.data(), target.size() }).mPath;
  if (path == "/control") {
    co_await ServeControl(aSession, parser);
  } else if (aSession.mControlAlone) {
    co_await SendShort(
      aSession,
      MakeAnswer(http::status::not_found, ErrorJson("control alone"), false));
    aSession.mOpen = false;
  } else if (path == "/load") {
    co_await Thawed(aSession);
    co_await Discard(aSession, parser);
    co_await SendShort(aSession,
                       MakeAnswer(http::status::ok,
                                  UpstreamLoadJson(mModel, Now()),
                                  aSession.mOpen));
  } else {
    co_await Thawed(aSession);
    co_await ServeWork(aSession, parser);
    aSession.mOpen = aSession.mOpen && !mModel.Faults().mCloseIdle;
  }
}

asio::awaitable<void>
upstream_standin::server::ServeWork(session& aSession, body_parser& aParser)
{
  work_request_result parsed = ParseWorkRequest(aParser.get().base());
  if (!parsed.mRequest) {
    mModel.Counters().mMalformed++;
    aSession.mOpen = false;
    co_await SendShort(
      aSession,
      MakeAnswer(http::status::bad_request, ErrorJson(parsed.mFault), false));
    co_return;
  }
  if (mModel.Faults().mFailFast) {
    mModel.Counters().mFailedFast++;
    co_await SendShort(aSession,
                       MakeAnswer(http::status::internal_server_error,
                                  ErrorJson("failing"),
                                  aSession.mOpen));
    co_await Discard(aSession, aParser);
    co_return;
  }
  std::optional<upstream_refusal> refused =
    mModel.Arrive(Now(), parsed.mRequest->mRemaining);
  if (refused) {
    co_await Refuse(aSession, aParser, *refused);
    co_return;
  }
  co_await RunWork(aSession, aParser, *parsed.mRequest);
}

asio::awaitable<void>
upstream_standin::server::RunWork(session& aSession,
                                  body_parser& aParser,
                                  const work_request& aRequest)
{
  slot held(mModel);
  instant deadline =
    aRequest.mRemaining ? Now() + *aRequest.mRemaining : instant::max();
  if (aRequest.mExpectsContinue) {
    http::response<http::empty_body> go(http::status::continue_, 11);
    beast::error_code failure;
    co_await http::async_write(
      *aSession.mSocket,
      go,
      asio::redirect_error(asio::use_awaitable, failure));
  }
  std::uint64_t received = 0;
  step_end end = co_await ReadBody(aSession, aParser, deadline, received);
  if (end == step_end::DeadlinePassed) {
    held.EndUnrun(upstream_refusal::Deadline);
    aSession.mOpen = false;
    co_await Refuse(aSession, aParser, upstream_refusal::Deadline);
    co_return;
  }
  if (end == step_end::Done) {
    instant now = Now();
    mModel.Begin(now, aRequest.mId);
    instant until = now + mModel.ServiceTime(now, aRequest.mServiceTime);
    end = co_await Work(aSession, until, deadline);
  }
  if (end == step_end::Closed) {
    aSession.mOpen = false;
    co_return; // the slot counts itself as cancelled
  }
  co_await Thawed(aSession);
  if (mModel.TakeLostAnswer()) {
    held.End(work_end::AnswerLost);
    aSession.mOpen = false;
    co_return;
  }
  if (end == step_end::DeadlinePassed) {
    held.End(work_end::DeadlineStopped);
    co_await SendShort(aSession,
                       MakeAnswer(http::status::gateway_timeout,
                                  ErrorJson("deadline passed during the work"),
                                  aSession.mOpen));
    co_return;
  }
  end = co_await Answer(aSession, aRequest, received, deadline);
  aSession.mOpen = aSession.mOpen && end == step_end::Done;
  if (end == step_end::Done) {
    held.End(work_end::Finished);
  } else if (end == step_end::DeadlinePassed) {
    held.End(work_end::DeadlineStopped);
  }
}

asio::awaitable<step_end>
upstream_standin::server::ReadBody(session& aSession,
                                   body_parser& aParser,
                                   instant aDeadline,
                                   std::uint64_t& aBytes)
{
  std::array<char, kReadBuffer> chunk;
  deadline_watch watch(aSession.mSocket, aDeadline);
  while (!aParser.is_done()) {
    aParser.get().body().data = chunk.data();
    aParser.get().body().size = chunk.size();
    beast::error_code failure;
    co_await http::async_read(
      *aSession.mSocket,
      aSession.mBuffer,
      aParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if (watch.Passed()) {
      co_return step_end::DeadlinePassed;
    }
    if (failure && failure != http::error::need_buffer) {
      co_return step_end::Closed;
    }
    aBytes += chunk.size() - aParser.get().body().size;
  }
  co_return step_end::Done;
}

asio::awaitable<step_end>
upstream_standin::server::Work(session& aSession,
                               instant aUntil,
                               instant aDeadline)
{
  instant end = std::min(aUntil, aDeadline);
  if (Now() < end) {
    bool watched = aSession.mBuffer.size() == 0;
    bool open = co_await WaitWhileOpen(aSession.mSocket, watched, end);
    if (!open) {
      co_return step_end::Closed;
    }
  }
  co_return aDeadline < aUntil ? step_end::DeadlinePassed : step_end::Done;
}

asio::awaitable<step_end>
upstream_standin::server::Answer(session& aSession,
                                 const work_request& aRequest,
                                 std::uint64_t aReceived,
                                 instant aDeadline)
{
  http::response<http::empty_body> head(http::status::ok, 11);
  head.set("Upstream-Name", mOptions.mModel.mName);
  head.set("Upstream-Body-Bytes", std::to_string(aReceived));
  if (!aRequest.mId.empty()) {
    head.set("Laburnumdyke-Request-Id", aRequest.mId);
  }
  head.set(http::field::content_type, "application/octet-stream");
  head.keep_alive(aSession.mOpen);
  head.content_length(aRequest.mAnswerBytes);
  http::response_serializer<http::empty_body> serializer(head);
  beast::error_code failure;
  co_await http::async_write_header(
    *aSession.mSocket,
    serializer,
    asio::redirect_error(asio::use_awaitable, failure));
  std::uint64_t left = aRequest.mHeadOnly ? 0 : aRequest.mAnswerBytes;
  if (failure || left == 0) {
    co_return failure ? step_end::Closed : step_end::Done;
  }
  std::string block = AnswerBlock(aRequest.mSeed);
  deadline_watch watch(aSession.mSocket, aDeadline);
  while (left > 0) {
    co_await Thawed(aSession);
    std::size_t size = std::min<std::uint64_t>(left, block.size());
    co_await asio::async_write(
      *aSession.mSocket,
      asio::buffer(block.data(), size),
      asio::redirect_error(asio::use_awaitable, failure));
    if (watch.Passed()) {
      co_return step_end::DeadlinePassed;
    }
    if (failure) {
      co_return step_end::Closed;
    }
    left -= size;
  }
  co_return step_end::Done;
}

asio::awaitable<void>
upstream_standin::server::ServeControl(session& aSession, body_parser& aParser)
{
  std::string body;
  std::array<char, kReadBuffer> chunk;
  while (!aParser.is_done()) {
    aParser.get().body().data = chunk.data();
    aParser.get().body().size = chunk.size();
    beast::error_code failure;
    co_await http::async_read(
      *aSession.mSocket,
      aSession.mBuffer,
      aParser,
      asio::redirect_error(asio::use_awaitable, failure));
    if ((failure && failure != http::error::need_buffer) ||
        body.size() > kMaxControlBytes) {
      aSession.mOpen = false;
      co_return;
    }
    body.append(chunk.data(), chunk.size() - aParser.get().body().size);
  }
  http::status status = http::status::ok;
  std::string answer;
  if (aParser.get().method() == http::verb::post) {
    std::optional<std::string> fault = Control(body);
    status = fault ? http::status::bad_request : http::status::ok;
    answer = fault ? ErrorJson(*fault) : UpstreamCountersJson(mModel, Now());
  } else if (aParser.get().method() == http::verb::get) {
    answer = UpstreamCountersJson(mModel, Now());
  } else {
    status = http::status::method_not_allowed;
    answer = ErrorJson("expected GET or POST");
  }
  co_await SendShort(aSession, MakeAnswer(status, answer, aSession.mOpen));
}

asio::awaitable<void>
upstream_standin::server::SendShort(session& aSession, short_answer aAnswer)
{
  beast::error_code failure;
  co_await http::async_write(
    *aSession.mSocket,
    aAnswer,
    asio::redirect_error(asio::use_awaitable, failure));
  aSession.mOpen = aSession.mOpen && !failure;
}

asio::awaitable<void>
upstream_standin::server::Refuse(session& aSession,
                                 body_parser& aParser,
                                 upstream_refusal aReason)
{
  if (aReason == upstream_refusal::Draining) {
    aSession.mOpen = false;
  }
  std::string_view reason = ToString(aReason);
  short_answer answer = MakeAnswer(
    http::status::service_unavailable, ErrorJson(reason), aSession.mOpen);
  answer.set(beast::string_view(kNotRunField.data(), kNotRunField.size()),
             beast::string_view(reason.data(), reason.size()));
  co_await SendShort(aSession, std::move(answer));
  co_await Discard(aSession, aParser);
}

asio::awaitable<void>
upstream_standin::server::Discard(session& aSession, body_parser& aParser)
{
  std::uint64_t ignored = 0;
  step_end end = co_await ReadBody(aSession, aParser, instant::max(), ignored);
  aSession.mOpen = aSession.mOpen && end == step_end::Done;
}

asio::awaitable<void>
upstream_standin::server::Thawed(const session& aSession)
{
  while (mModel.Faults().mFrozen && !aSession.mControlAlone) {
    beast::error_code cancelled;
    co_await mThaw.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  }
}

std::optional<std::string>
upstream_standin::server::Control(const std::string& aBody)
{
  std::optional<std::string> fault = ControlUpstream(mModel, aBody, Now());
  if (fault) {
    return fault;
  }
  if (mModel.Faults().mCloseIdle) {
    mConnections.CloseIdle();
  }
  if (!mModel.Faults().mFrozen) {
    mThaw.cancel();
  }
  return std::nullopt;
}

upstream_standin::upstream_standin(asio::io_context& aContext,
                                   upstream_standin_options aOptions)
  : mServer(std::make_shared<server>(aContext, std::move(aOptions)))
{
}

upstream_standin::~upstream_standin()
{
  Stop();
}

std::optional<std::string>
upstream_standin::Start()
{
  return mServer->Start();
}

std::uint16_t
upstream_standin::Port() const
{
  return mServer->mPort;
}

std::uint16_t
upstream_standin::ControlPort() const
{
  return mServer->mControlPort;
}

void
upstream_standin::Stop()
{
  mServer->Stop();
}

} // namespace laburnumdyke
