// A real daemon whose clients try to make it run out of memory: bodies that
// stop just short of their end, bodies over the limit, and clients that do not
// read their responses. Verdicts are on memory, descriptors, and whether the
// process still serves; none depends on the speed of the machine.
#include "laburnumdyke/testing/harness/hosts_deployment.h"
#include "laburnumdyke/testing/harness/scenario.h"

#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace laburnumdyke;

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
// max-body-bytes of the deployment's configuration.
constexpr std::size_t kMaxBody = kMegabyte;
// The budget of the process, [limits] body_memory.
constexpr std::size_t kBudget = 8 * kMegabyte;
// What a process may use beyond its size before the clients came and its
// budget: connections of the crowd, the heap's own overhead.
constexpr std::size_t kAllowance = 8 * kMegabyte;
constexpr std::size_t kCrowd = 48;
// Clients that read no response; a response buffers at most 256 KB today, so
// that more of them are needed to exceed the bound.
constexpr std::size_t kReaders = 96;
constexpr std::size_t kUpstreams = 12; // of 8 slots each
// Bodies of a first crowd, which fill the budget in blocks of less than 32 KB.
constexpr std::size_t kMiddlingCrowd = 300;
constexpr std::size_t kMiddlingBody = 46000;
constexpr std::size_t kSmallCrowd = 400;
constexpr std::size_t kSmallBody = 15000;
// Below max-header-bytes of the deployment's configuration.
constexpr std::size_t kLargeHead = 15000;
// Two connections for each client, and those of the process itself.
constexpr std::size_t kDescriptorAllowance = 64;
// A client whose bytes the process does not take gives up.
constexpr timeval kWriteLimit{ 2, 0 };

// A field of /proc/PID/status in bytes.
std::size_t
StatusBytes(pid_t aPid, const std::string& aField)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(aField + ":", 0) == 0) {
      return std::stoul(line.substr(aField.size() + 1)) * kKilobyte;
    }
  }
  return 0;
}

// In clock ticks; the fields utime and stime of /proc/PID/stat.
std::string
ProcessorTime(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string field;
  for (int i = 1; i < 14; ++i) {
    file >> field;
  }
  std::string user;
  std::string system;
  file >> user >> system;
  return user + "+" + system;
}

std::size_t
OpenDescriptors(pid_t aPid)
{
  std::filesystem::directory_iterator open("/proc/" + std::to_string(aPid) +
                                           "/fd");
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

// A client that writes raw bytes and reads only when it is told to.
class raw_client
{
public:
  explicit raw_client(const endpoint& aTo, int aReceiveBuffer = 0)
    : mSocket(Context())
  {
    error_code ignored;
    mSocket.open(tcp::v4(), ignored);
    if (aReceiveBuffer > 0) {
      mSocket.set_option(asio::socket_base::receive_buffer_size(aReceiveBuffer),
                         ignored);
    }
    mSocket.connect(ToAsio(aTo), ignored);
    ::setsockopt(mSocket.native_handle(),
                 SOL_SOCKET,
                 SO_SNDTIMEO,
                 &kWriteLimit,
                 sizeof kWriteLimit);
  }

  // Returns false once the server has closed the connection.
  bool Write(const std::string& aBytes)
  {
    std::size_t written = 0;
    while (mOpen && written < aBytes.size()) {
      ssize_t sent = ::send(mSocket.native_handle(),
                            aBytes.data() + written,
                            aBytes.size() - written,
                            MSG_NOSIGNAL);
      mOpen = sent > 0;
      written += mOpen ? static_cast<std::size_t>(sent) : 0;
    }
    return mOpen;
  }

  // The first bytes of the response; empty if there is none.
  std::string ReadStatus()
  {
    std::string head(12, '\0');
    ssize_t got =
      ::recv(mSocket.native_handle(), head.data(), head.size(), MSG_WAITALL);
    head.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return head;
  }

private:
  // Shared: a context for each client would take three descriptors more.
  static asio::io_context& Context()
  {
    static asio::io_context sContext;
    return sContext;
  }

  tcp::socket mSocket;
  bool mOpen = true;
};

std::string
Head(const std::string& aFraming, const std::string& aId)
{
  return "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 3000\r\n" + aFraming + "\r\n\r\n";
}

std::string
Sized(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes);
}

const std::string kChunked = "Transfer-Encoding: chunked";

std::string
Chunk(std::size_t aBytes)
{
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes);
  return size + std::string(aBytes, 'x') + "\r\n";
}

} // namespace

TEST_GROUP(ProcessHostileClients)
{
  hosts_deployment mDeployed;
  std::list<raw_client> mClients;
  std::size_t mMemoryBefore = 0;
  std::size_t mDescriptorsBefore = 0;

  pid_t Pid()
  {
    return mDeployed.Daemon("one").mProcess->Pid();
  }

  void Start(std::size_t aUpstreams = 1)
  {
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      mDeployed.AddUpstream("i-" + std::to_string(i));
    }
    mDeployed.SetExtraSettings(BudgetSetting());
    CHECK(mDeployed.StartDaemon("one"));
    CHECK(Serves("before"));
    mMemoryBefore = StatusBytes(Pid(), "VmRSS");
    mDescriptorsBefore = OpenDescriptors(Pid());
  }

  static std::string BudgetSetting()
  {
    return "[limits]\nbody_memory = " + std::to_string(kBudget) + "\n";
  }

  raw_client& Connect(int aReceiveBuffer = 0)
  {
    return mClients.emplace_back(mDeployed.Daemon("one").mCaller,
                                 aReceiveBuffer);
  }

  // Begins a body on each of kCrowd connections.
  void Begin(const std::string& aFraming)
  {
    for (std::size_t i = 0; i < kCrowd; ++i) {
      Connect().Write(Head(aFraming, "hostile-" + std::to_string(i)));
    }
  }

  // Begins a request on each of aClients connections and sends aBody of it.
  void SendCrowd(
    std::size_t aClients, const std::string& aFraming, const std::string& aBody)
  {
    for (std::size_t i = 0; i < aClients; ++i) {
      std::string id = "hostile-" + std::to_string(mClients.size());
      Connect().Write(Head(aFraming, id) + aBody);
    }
    Settle();
  }

  // One byte short of their end.
  void SendMiddlingBodies()
  {
    SendCrowd(kMiddlingCrowd,
              Sized(kMiddlingBody),
              std::string(kMiddlingBody - 1, 'x'));
  }

  void SendLargeBodies()
  {
    SendCrowd(kCrowd, Sized(kMaxBody), std::string(kMaxBody - 1, 'x'));
  }

  // Closes the connections of the crowd.
  void Disconnect()
  {
    mClients.clear();
    Settle();
  }

  bool Serves(const std::string& aId)
  {
    return WaitUntil(
      [&]() { return mDeployed.Send("one", aId).mStatus == 200; }, kEventLimit);
  }

  // Waits until the process has read what the clients have sent, as far as it
  // will: its memory and the processor time that it used no longer change.
  void Settle()
  {
    std::string last;
    WaitUntil(
      [&]() {
        std::string now = std::to_string(StatusBytes(Pid(), "VmRSS")) + " " +
                          ProcessorTime(Pid());
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return std::exchange(last, now) == now;
      },
      kEventLimit);
  }

  // With the crowd still connected.
  void CheckBounds(const char* aCase)
  {
    std::size_t most = OpenDescriptors(Pid());
    Settle();
    CHECK_TEXT(!mDeployed.Daemon("one").mProcess->Status(), aCase);
    std::size_t grown = StatusBytes(Pid(), "VmHWM") - mMemoryBefore;
    most = std::max({ most, OpenDescriptors(Pid()), mDescriptorsBefore });
    std::size_t descriptors = most - mDescriptorsBefore;
    std::printf("%s: memory grew from %zu by %zu KB at most, to %zu KB now; "
                "descriptors by %zu\n",
                aCase,
                mMemoryBefore / kKilobyte,
                grown / kKilobyte,
                StatusBytes(Pid(), "VmRSS") / kKilobyte,
                descriptors);
    CHECK_TEXT(Serves("after"), aCase);
    CHECK_TEXT(!mDeployed.Daemon("one").mProcess->Status(), aCase);
    CHECK_TEXT(descriptors <= 2 * mClients.size() + kDescriptorAllowance,
               aCase);
    CHECK_TEXT(grown <= kBudget + kAllowance, aCase);
  }
};

TEST(ProcessHostileClients, LargeBodiesSentWholeStopShortOfTheirEnd)
{
  Start();
  Begin(Sized(kMaxBody));
  std::string body(kMaxBody - 1, 'x');
  for (raw_client& client : mClients) {
    client.Write(body);
  }
  CheckBounds("large bodies, whole");
}

TEST(ProcessHostileClients, LargeBodiesSentInPiecesStopShortOfTheirEnd)
{
  Start();
  Begin(Sized(kMaxBody));
  constexpr std::size_t kPiece = 16 * kKilobyte;
  std::string piece(kPiece, 'x');
  for (std::size_t sent = 0; sent + kPiece < kMaxBody; sent += kPiece) {
    for (raw_client& client : mClients) {
      client.Write(piece);
    }
  }
  CheckBounds("large bodies, in pieces");
}

TEST(ProcessHostileClients, LargeChunksStopShortOfTheEnd)
{
  Start();
  Begin(kChunked);
  constexpr std::size_t kPiece = 64 * kKilobyte;
  std::string chunk = Chunk(kPiece);
  for (std::size_t sent = 0; sent + kPiece < kMaxBody; sent += kPiece) {
    for (raw_client& client : mClients) {
      client.Write(chunk);
    }
  }
  CheckBounds("large chunks");
}

TEST(ProcessHostileClients, ChunksOfOneByteStopShortOfTheEnd)
{
  Start();
  Begin(kChunked);
  std::string chunks;
  for (std::size_t i = 0; i < 1000; ++i) {
    chunks += Chunk(1);
  }
  for (std::size_t round = 0; round < 600; ++round) {
    for (raw_client& client : mClients) {
      client.Write(chunks);
    }
  }
  CheckBounds("one-byte chunks");
}

TEST(ProcessHostileClients, BodiesDeclaredOverTheLimit)
{
  Start();
  raw_client& polite = Connect();
  polite.Write(Head(Sized(kMaxBody + 1), "polite"));
  // Answered before a byte of the body is sent.
  STRCMP_EQUAL("HTTP/1.1 413", polite.ReadStatus().c_str());
  Begin(Sized(64 * kMaxBody));
  std::string body(2 * kMaxBody, 'x');
  for (raw_client& client : mClients) {
    client.Write(body);
  }
  CheckBounds("declared over the limit");
}

TEST(ProcessHostileClients, BodiesSentOverTheLimitUndeclared)
{
  Start();
  raw_client& polite = Connect();
  polite.Write(Head(kChunked, "polite") + Chunk(kMaxBody + 1));
  STRCMP_EQUAL("HTTP/1.1 413", polite.ReadStatus().c_str());
  Begin(kChunked);
  std::string chunk = Chunk(64 * kKilobyte);
  for (std::size_t round = 0; round < 32; ++round) {
    for (raw_client& client : mClients) {
      client.Write(chunk);
    }
  }
  CheckBounds("sent over the limit");
}

TEST(ProcessHostileClients, ClientsThatDoNotReadTheirResponses)
{
  Start(kUpstreams);
  for (std::size_t i = 0; i < kReaders; ++i) {
    Connect(4 * static_cast<int>(kKilobyte))
      .Write("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: reader-" +
             std::to_string(i) + "\r\nX-Deadline-Ms: 3000\r\nX-Answer-Bytes: " +
             std::to_string(8 * kMegabyte) + "\r\n\r\n");
  }
  // The deadline of all these requests has passed once this one is answered.
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  CheckBounds("responses not read");
}

// Guards against a budget that clients which send nothing more keep occupied.
TEST(ProcessHostileClients, StalledBodiesMakeWayForOneThatProgresses)
{
  Start();
  Begin(Sized(kMaxBody));
  std::string body(kMaxBody - 1, 'x');
  for (raw_client& client : mClients) {
    client.Write(body);
  }
  int sent = 0;
  CHECK(WaitUntil(
    [&]() {
      raw_client client(mDeployed.Daemon("one").mCaller);
      client.Write(Head(Sized(kMaxBody), "late-" + std::to_string(++sent)) +
                   std::string(kMaxBody, 'x'));
      return client.ReadStatus() == "HTTP/1.1 200";
    },
    kEventLimit));
  CheckBounds("stalled bodies");
}

// Guards against limits that reject what the configuration allows.
TEST(ProcessHostileClients, ABodyOfTheLargestLegalSizeIsServedWhenQuiet)
{
  Start();
  for (const char* framing : { "sized", "chunked" }) {
    raw_client& client = Connect();
    bool isSized = framing == std::string("sized");
    client.Write(isSized
                   ? Head(Sized(kMaxBody), framing) + std::string(kMaxBody, 'x')
                   : Head(kChunked, framing) + Chunk(kMaxBody) + "0\r\n\r\n");
    STRCMP_EQUAL_TEXT("HTTP/1.1 200", client.ReadStatus().c_str(), framing);
  }
  CheckBounds("largest legal bodies");
}

// Guards against memory that one crowd has given back and that larger bodies
// are granted a second time, while the heap still keeps it.
TEST(ProcessHostileClients, LargeBodiesAfterMiddlingOnesThatHaveLeft)
{
  Start();
  SendMiddlingBodies();
  Disconnect();
  SendLargeBodies();
  CheckBounds("large bodies after middling ones");
}

// As above; the bodies of the first crowd are dropped for those of the second.
TEST(ProcessHostileClients, LargeBodiesBesideMiddlingOnes)
{
  Start();
  SendMiddlingBodies();
  SendLargeBodies();
  CheckBounds("large bodies beside middling ones");
}

// Guards against memory of headers that no budget counts.
TEST(ProcessHostileClients, BodiesWithLargeHeads)
{
  Start();
  SendCrowd(kSmallCrowd,
            "X-Filler: " + std::string(kLargeHead, 'x') + "\r\n" +
              Sized(kMiddlingBody),
            std::string(kMiddlingBody - 1, 'x'));
  CheckBounds("bodies with large heads");
}

// Guards against counting the bytes of a header without the cost of its fields.
TEST(ProcessHostileClients, BodiesWithManySmallFields)
{
  Start();
  std::string fields;
  while (fields.size() < kLargeHead) {
    fields += "a: b\r\n";
  }
  SendCrowd(kSmallCrowd,
            fields + Sized(kMiddlingBody),
            std::string(kMiddlingBody - 1, 'x'));
  CheckBounds("bodies with many small fields");
}

TEST(ProcessHostileClients, LargeBodiesAfterSmallChunkedOnes)
{
  Start();
  constexpr std::size_t kPiece = 100;
  std::string chunks;
  for (std::size_t sent = 0; sent < kSmallBody; sent += kPiece) {
    chunks += Chunk(kPiece);
  }
  SendCrowd(kSmallCrowd, kChunked, chunks);
  Disconnect();
  SendLargeBodies();
  CheckBounds("large bodies after small chunked ones");
}
