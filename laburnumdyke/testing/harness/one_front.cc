// The upstream serves on a thread of its own, one connection at a time: tests
// need the order of arrivals, not their number.
#include "laburnumdyke/testing/harness/one_front.h"

#include "laburnumdyke/kernel/invariant.h"
#include "laburnumdyke/plugin/steered_front.h"
#include "laburnumdyke/testing/harness/deployment.h"
#include "laburnumdyke/testing/harness/one_kernel.h"
#include "platform/header_dialect.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace laburnumdyke {

namespace {

using namespace std::chrono_literals;

// Between endless bytes, so that tests don't drown in them.
constexpr std::chrono::milliseconds kEndlessPause{ 1 };

routing_document
FrontDocument()
{
  routing_document document;
  document.mVersion = 1;
  route_spec read;
  read.mName = "read";
  read.mHost = "a.example";
  read.mPrefix = "/read/";
  read.mIdempotent = true;
  read.mServices = { { { "s" }, 1 } };
  read.mTimeout = 3000ms;
  read.mMaxAttempts = 2;
  route_spec write = read;
  write.mName = "write";
  write.mPrefix = "/write/";
  write.mIdempotent = false;
  document.mRoutes = { read, write };
  return document;
}

upstream_entry
FrontUpstream(const std::string& aId, const endpoint& aAddress)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mService = { "s" };
  entry.mDomain = { "east-a" };
  entry.mAddress = aAddress;
  entry.mSlots = 3;
  entry.mSequence = 1;
  return entry;
}

} // namespace

scripted_upstream::scripted_upstream()
  : mAddress(FreeEndpoint())
  , mAcceptor(mContext, ToAsio(mAddress))
  , mThread([this] { Serve(); })
{
}

scripted_upstream::~scripted_upstream()
{
  mStopped = true;
  Release();
  error_code ignored;
  tcp::socket last(mContext);
  last.connect(ToAsio(mAddress), ignored);
  mThread.join();
}

void
scripted_upstream::Script(std::vector<std::string> aAnswers)
{
  std::scoped_lock lock(mMutex);
  mAnswers.assign(aAnswers.begin(), aAnswers.end());
}

void
scripted_upstream::FollowWith(std::string aEndless)
{
  std::scoped_lock lock(mMutex);
  mEndless = std::move(aEndless);
}

void
scripted_upstream::Hold()
{
  std::scoped_lock lock(mMutex);
  mIsHeld = true;
}

void
scripted_upstream::Release()
{
  std::scoped_lock lock(mMutex);
  mIsHeld = false;
  mReleased.notify_all();
}

std::vector<std::string>
scripted_upstream::Requests()
{
  std::scoped_lock lock(mMutex);
  return mRequests;
}

void
scripted_upstream::Serve()
{
  while (!mStopped) {
    error_code failure;
    tcp::socket socket = mAcceptor.accept(failure);
    if (!failure && !mStopped) {
      Answer(socket);
    }
  }
}

void
scripted_upstream::Answer(tcp::socket& aSocket)
{
  asio::streambuf buffer;
  error_code failure;
  std::size_t size = asio::read_until(aSocket, buffer, "\r\n\r\n", failure);
  if (failure) {
    return; // closed without a request
  }
  std::string head(asio::buffers_begin(buffer.data()),
                   asio::buffers_begin(buffer.data()) +
                     static_cast<std::ptrdiff_t>(size));
  std::string answer;
  std::string endless;
  {
    std::unique_lock lock(mMutex);
    mRequests.push_back(head);
    mReleased.wait(lock, [this] { return !mIsHeld; });
    endless = mEndless;
    if (!mAnswers.empty()) {
      answer = mAnswers.front();
      mAnswers.pop_front();
    }
  }
  std::size_t at = answer.find("ID");
  if (at != std::string::npos) {
    std::size_t id = head.find("X-Request-Id: ") + 14;
    answer.replace(at, 2, head.substr(id, head.find('\r', id) - id));
  }
  asio::write(aSocket, asio::buffer(answer), failure);
  while (!endless.empty() && !failure && !mStopped) {
    std::this_thread::sleep_for(kEndlessPause);
    asio::write(aSocket, asio::buffer(endless), failure);
  }
  aSocket.shutdown(tcp::socket::shutdown_send, failure);
}

one_front::one_front(client_bounds aLimits)
  : mSettings(FreeSettings("one", "east-a", "east"))
{
  mSettings.mFront = front_kind::Hosts;
  mSettings.mLimits = aLimits;
  mSettings.mReady = FreeEndpoint();
  mSettings.mDirectory = FreeEndpoint();
  mSettings.mDomains = { { "east-a", "east" } };
  mKernel = std::make_unique<kernel>(
    mSettings,
    std::vector<plugin_record>{ MakeRecord<steered_front<header_dialect>>() });
  std::optional<std::string> failure =
    mKernel->Start(std::chrono::steady_clock::now());
  CheckInvariant(!failure, "test_front", failure.value_or(""));
}

void
one_front::Configure(bool aBoth)
{
  PutInForce(FrontDocument(), aBoth);
}

void
one_front::ConfigureCustomers(std::vector<std::string> aKeys)
{
  customer_spec customer;
  customer.mName = { "acme" };
  customer.mKeys = std::move(aKeys);
  customer.mQuota = { 1, 1 };
  routing_document document = FrontDocument();
  document.mCustomers = { customer };
  route_spec open = document.mRoutes.front();
  open.mName = "open";
  open.mPrefix = "/open/";
  open.mPublic = true;
  document.mRoutes.push_back(open);
  PutInForce(document, false);
  steering_tables(*mKernel).Quota().With(
    [&](quota_state& aQuota) { aQuota.SetCustomers({ customer }); });
}

void
one_front::ChangeLimits(std::uint64_t aVersion, const caller_limits& aLimits)
{
  routing_document document = FrontDocument();
  document.mVersion = aVersion;
  document.mLimits = aLimits;
  std::shared_ptr<const route_table> routes =
    std::make_shared<const route_table>(std::move(document));
  steering_tables(*mKernel).InForce().With(
    [&](routes_in_force& aInForce) { aInForce.mRoutes = routes; });
}

void
one_front::PutInForce(routing_document aDocument, bool aBoth)
{
  steering_tables tables(*mKernel);
  std::shared_ptr<const route_table> routes =
    std::make_shared<const route_table>(std::move(aDocument));
  tables.InForce().With(
    [&](routes_in_force& aInForce) { aInForce.mRoutes = routes; });
  std::vector<upstream_entry> entries = { FrontUpstream("u1",
                                                        mFirst.mAddress) };
  if (aBoth) {
    entries.push_back(FrontUpstream("u2", mSecond.mAddress));
  }
  tables.Steering().With([&](steering_state& aSteering) {
    instant now = std::chrono::steady_clock::now();
    aSteering.SetRules(routes);
    aSteering.Apply(aSteering.Directory().Replace(entries, now), now);
  });
  tables.Fleet().With([](fleet_state& aFleet) {
    aFleet.SetServing(true);
    // As after two readings that found nobody else.
    aFleet.CountReading(true);
    aFleet.CountReading(true);
  });
  tables.PublishFleet();
}

std::string
one_front::Send(const std::string& aBytes)
{
  return SendRaw(mSettings.mCaller, aBytes);
}

std::size_t
one_front::Arrivals()
{
  return mFirst.Requests().size() + mSecond.Requests().size();
}

std::string
FrontRequest(const std::string& aMethod, const std::string& aPath)
{
  std::string request = aMethod + " " + aPath +
                        " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 77\r\n"
                        "X-Affinity-Key: 1\r\nX-Deadline-Ms: 2000\r\n"
                        "Connection: close\r\n";
  return request +
         (aMethod == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

} // namespace laburnumdyke
