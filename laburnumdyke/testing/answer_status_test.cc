// Responses whose status line is not one of HTTP, and interim responses, as raw
// bytes from an upstream, from the store or from another instance. Guards
// against statuses that reach a client although no server may send them.
#include "laburnumdyke/plugin/http_client.h"
#include "laburnumdyke/plugin/http_forward.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_front.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;
using namespace std::chrono_literals;

namespace {

// The status lines' part after the version.
const std::vector<std::string> kInvalid = {
  "000 None", "001 X",  "099 X",       "101 Switching Protocols",
  "600 X",    "601 X",  "799 X",       "999 X",
  "1000 X",   "2000 X", "20 X",        "2",
  "",         "OK",     "two hundred", "2x0 OK",
  "-200 OK",
};

const std::vector<std::string> kInterim = {
  "100 Continue", "102 Processing", "103 Early Hints", "110 X", "199 X",
};

std::string
Answer(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nX-Request-Id: ID\r\nX-Server-Stamp: s\r\n"
         "Content-Length: 2\r\n\r\nok";
}

std::string
Interim(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nLink: </early>\r\n\r\n";
}

std::optional<client_answer>
ExchangeWith(scripted_upstream& aServer)
{
  asio::io_context context;
  client_request request;
  request.mTo = aServer.mAddress;
  request.mTarget = "/";
  request.mTimeout = 500ms;
  std::future<std::optional<client_answer>> answer =
    asio::co_spawn(context, Exchange(request), asio::use_future);
  context.run();
  return answer.get();
}

struct forwarded
{
  forward_result mResult;
  std::string mReceived; // by the caller
};

// Forwards a request as between instances.
forwarded
ForwardTo(scripted_upstream& aServer)
{
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  tcp_stream stream(acceptor.accept());
  asio::write(caller,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  beast::flat_buffer buffer;
  request_parser parser;
  http::read_header(stream, buffer, parser);
  instant now = std::chrono::steady_clock::now();
  http_exchange exchange{ stream, buffer, parser, now, true };
  table<connection_pool> pool;
  forward_request request;
  request.mTo = aServer.mAddress;
  request.mTarget = "/";
  request.mDeadline = now + 2s;
  request.mReuse = false;
  request.mCancel = false;
  body_prefix prefix{ "", true };
  std::future<forward_result> result = asio::co_spawn(
    context, Forward(pool, exchange, prefix, request), asio::use_future);
  context.run();
  forwarded end{ result.get(), "" };
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  asio::read(caller, asio::dynamic_buffer(end.mReceived), ignored);
  return end;
}

} // namespace

TEST_GROUP(AnswerStatus){};

TEST(AnswerStatus, AnInvalidStatusReachesNoClientAndIsNotRetriedIfItMayHaveRun)
{
  for (const std::string& status : kInvalid) {
    one_front front;
    front.Configure(true);
    for (scripted_upstream* upstream : { &front.mFirst, &front.mSecond }) {
      upstream->Script({ Answer(status) });
    }
    std::string answer = front.Send(FrontRequest("POST", "/write/1"));
    STRCMP_EQUAL_TEXT(
      "HTTP/1.1 502", answer.substr(0, 12).c_str(), status.c_str());
    LONGS_EQUAL_TEXT(1, front.Arrivals(), status.c_str());
    LONGS_EQUAL_TEXT(
      1,
      front.mKernel->Counters().Value("attempts_total", "garbled"),
      status.c_str());
  }
}

TEST(AnswerStatus, AnInvalidStatusIsRetriedElsewhereIfTheRequestMayRepeat)
{
  for (const std::string& status : kInvalid) {
    one_front front;
    front.Configure(true);
    for (scripted_upstream* upstream : { &front.mFirst, &front.mSecond }) {
      upstream->Script({ Answer(status) });
    }
    std::string answer = front.Send(FrontRequest("GET", "/read/1"));
    STRCMP_EQUAL_TEXT(
      "HTTP/1.1 502", answer.substr(0, 12).c_str(), status.c_str());
    LONGS_EQUAL_TEXT(2, front.Arrivals(), status.c_str());
  }
}

TEST(AnswerStatus, InterimResponsesAreNotForwarded)
{
  for (const std::string& status : kInterim) {
    one_front front;
    front.Configure(false);
    front.mFirst.Script({ Interim(status) + Interim(status) + kWholeAnswer });
    std::string answer = front.Send(FrontRequest("POST", "/write/1"));
    STRCMP_EQUAL_TEXT(
      "HTTP/1.1 200", answer.substr(0, 12).c_str(), status.c_str());
    CHECK_TEXT(answer.find("early") == std::string::npos, status.c_str());
  }
}

// Some servers report progress of long work.
TEST(AnswerStatus, AFewInterimResponsesAreAllowed)
{
  one_front front;
  front.Configure(false);
  std::string script;
  for (int i = 0; i < 10; ++i) {
    script += Interim("102 Processing");
  }
  front.mFirst.Script({ script + kWholeAnswer });
  std::string answer = front.Send(FrontRequest("POST", "/write/1"));
  STRCMP_EQUAL("HTTP/1.1 200", answer.substr(0, 12).c_str());
}

TEST(AnswerStatus, ASmallExchangeTakesNoInvalidStatus)
{
  for (const std::string& status : kInvalid) {
    scripted_upstream server;
    server.Script({ "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok" });
    CHECK_TEXT(!ExchangeWith(server), status.c_str());
  }
}

TEST(AnswerStatus, ASmallExchangeWaitsForTheFinalResponse)
{
  for (const std::string& status : kInterim) {
    scripted_upstream server;
    server.Script(
      { Interim(status) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
    std::optional<client_answer> answer = ExchangeWith(server);
    CHECK_TEXT(answer.has_value(), status.c_str());
    LONGS_EQUAL_TEXT(200, answer->mStatus, status.c_str());
    STRCMP_EQUAL_TEXT("ok", answer->mBody.c_str(), status.c_str());
  }
}

TEST(AnswerStatus, ASmallExchangeEndsAnEndlessSeriesOfInterimResponses)
{
  scripted_upstream server;
  server.Script({ Interim("102 Processing") });
  server.FollowWith(Interim("102 Processing"));
  CHECK(!ExchangeWith(server));
}

TEST(AnswerStatus, ForwardingTakesNoInvalidStatus)
{
  for (const std::string& status : kInvalid) {
    scripted_upstream server;
    server.Script({ "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok" });
    forwarded end = ForwardTo(server);
    CHECK_TEXT(end.mResult.mOutcome == outcome_kind::Unknown, status.c_str());
    STRCMP_EQUAL_TEXT("", end.mReceived.c_str(), status.c_str());
  }
}

TEST(AnswerStatus, ForwardingWaitsForTheFinalResponse)
{
  for (const std::string& status : kInterim) {
    scripted_upstream server;
    server.Script(
      { Interim(status) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
    forwarded end = ForwardTo(server);
    CHECK_TEXT(end.mResult.mOutcome == outcome_kind::Answered, status.c_str());
    STRCMP_EQUAL_TEXT(
      "HTTP/1.1 200", end.mReceived.substr(0, 12).c_str(), status.c_str());
    CHECK_TEXT(end.mReceived.find("early") == std::string::npos,
               status.c_str());
  }
}
