// One coroutine a connection, all on one strand, so that the model needs no
// lock. Bodies are gathered: a stand-in holds every object in memory anyway.
#include "laburnumdyke/testing/standin/platform_standin.h"

#include "laburnumdyke/testing/standin/connections.h"
#include "laburnumdyke/testing/standin/platform_exchange.h"
#include "laburnumdyke/testing/standin/whole_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace laburnumdyke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

class platform_standin::server : public std::enable_shared_from_this<server>
{
public:
  server(asio::io_context& aContext, platform_standin_options aOptions)
    : mOptions(std::move(aOptions))
    , mStrand(asio::make_strand(aContext))
    , mAcceptor(mStrand)
  {
    mModel.SetFaults(mOptions.mFaults);
  }

  std::optional<std::string> Start();
  void Stop();

  // For ServeWhole.
  static constexpr std::uint64_t kMaxBody = 64ull << 20;
  asio::awaitable<std::optional<short_answer>> Perform(whole_request aRequest);
  void Malformed() { mModel.Counters().mMalformed++; }

  std::uint16_t mPort = 0;

private:
  asio::awaitable<void> Accepted(std::shared_ptr<server> aSelf,
                                 tcp::socket aSocket);
  short_answer Control(const whole_request& aRequest);

  platform_standin_options mOptions;
  asio::any_io_executor mStrand;
  tcp::acceptor mAcceptor;
  connection_set mConnections;
  platform_model mModel;
};

std::optional<std::string>
platform_standin::server::Start()
{
  std::optional<std::string> failure = Listen(mAcceptor, mOptions.mListen);
  if (failure) {
    return failure;
  }
  mPort = mAcceptor.local_endpoint().port();
  std::shared_ptr<server> self = shared_from_this();
  asio::co_spawn(mStrand,
                 AcceptLoop(self,
                            mAcceptor,
                            [self](tcp::socket aSocket) {
                              return self->Accepted(self, std::move(aSocket));
                            }),
                 asio::detached);
  return std::nullopt;
}

void
platform_standin::server::Stop()
{
  asio::post(mStrand, [self = shared_from_this()]() {
    beast::error_code ignored;
    self->mAcceptor.close(ignored);
    self->mConnections.CloseAll();
  });
}

asio::awaitable<void>
platform_standin::server::Accepted(
  [[maybe_unused]] std::shared_ptr<server> aSelf,
  tcp::socket aSocket)
{
  co_await ServeWhole(*this, mConnections, std::move(aSocket));
}

asio::awaitable<std::optional<short_answer>>
platform_standin::server::Perform(whole_request aRequest)
{
  if (aRequest.target() == "/control") {
    co_return Control(aRequest);
  }
  if (!mModel.Faults().mOutage && mModel.Faults().mDelay.count() > 0) {
    asio::steady_timer timer(mStrand, mModel.Faults().mDelay);
    beast::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (mModel.Faults().mOutage) {
    co_return std::nullopt;
  }
  co_return PerformPlatformRequest(
    mModel, aRequest, std::chrono::steady_clock::now());
}

short_answer
platform_standin::server::Control(const whole_request& aRequest)
{
  http::status status = http::status::ok;
  std::string answer;
  if (aRequest.method() == http::verb::post) {
    std::optional<std::string> fault = ControlPlatform(mModel, aRequest.body());
    status = fault ? http::status::bad_request : http::status::ok;
    answer = fault ? ErrorJson(*fault) : PlatformCountersJson(mModel);
  } else if (aRequest.method() == http::verb::get) {
    answer = PlatformCountersJson(mModel);
  } else {
    status = http::status::method_not_allowed;
    answer = ErrorJson("expected GET or POST");
  }
  if (mModel.Faults().mOutage) {
    mConnections.CloseIdle();
  }
  return MakeAnswer(status, answer, aRequest.keep_alive());
}

platform_standin::platform_standin(asio::io_context& aContext,
                                   platform_standin_options aOptions)
  : mServer(std::make_shared<server>(aContext, std::move(aOptions)))
{
}

platform_standin::~platform_standin()
{
  Stop();
}

std::optional<std::string>
platform_standin::Start()
{
  return mServer->Start();
}

std::uint16_t
platform_standin::Port() const
{
  return mServer->mPort;
}

void
platform_standin::Stop()
{
  mServer->Stop();
}

} // namespace laburnumdyke
