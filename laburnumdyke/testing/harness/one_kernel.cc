// Documents go straight into the kernel's tables, as config_watch puts them.
#include "laburnumdyke/testing/harness/one_kernel.h"

#include "laburnumdyke/kernel/invariant.h"
#include "laburnumdyke/plugin/entry_tables.h"
#include "laburnumdyke/plugin/http_types.h"
#include "laburnumdyke/testing/harness/deployment.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace laburnumdyke {

settings
FreeSettings(const std::string& aInstance,
             const std::string& aDomain,
             const std::string& aRegion)
{
  settings made;
  made.mInstance = aInstance;
  made.mFailureDomain = aDomain;
  made.mRegion = aRegion;
  made.mIncarnation = 1;
  made.mWorkers = 1;
  made.mCaller = FreeEndpoint();
  made.mRelay = FreeEndpoint();
  made.mPeer = FreeEndpoint();
  made.mOperator = FreeEndpoint();
  made.mPlatform = FreeEndpoint();
  return made;
}

void
ForceDocument(kernel& aKernel, std::uint64_t aVersion, const std::string& aText)
{
  document_result parsed = ParseDocument(aText);
  CheckInvariant(parsed.mDocument.has_value(),
                 "test_document",
                 parsed.mFaults.empty()
                   ? std::string()
                   : parsed.mFaults.front().Describe("document"));
  document_objects objects = SplitDocument(aText);
  entry_tables tables(aKernel);
  tables.DocumentState().With([&](document_state& aState) {
    aState.Accept(aVersion,
                  objects.mHash,
                  objects.mObjects,
                  std::make_shared<const document>(*parsed.mDocument));
  });
  tables.RefreshHomes(std::chrono::steady_clock::now());
}

void
WaitForHomes(kernel& aKernel)
{
  entry_tables tables(aKernel);
  bool home = WaitUntil(
    [&]() {
      return tables.Admission().With([](admission& aAdmission) {
        return !aAdmission.Credits(std::chrono::steady_clock::now()).empty();
      });
    },
    std::chrono::seconds(60));
  CheckInvariant(home, "test_homes", [&]() {
    return "instance=" + tables.Self().mInstance.mValue;
  });
}

std::string
SmallDocument(const endpoint& aUpstream)
{
  std::string text = "[region leinster]\ncap = 9\n"
                     "[failure_domain leinster-a]\nregion = leinster\n"
                     "[service booking]\nrank = urgent\nidempotent = no\n"
                     "answer_life = 1s\n"
                     "[service job-sheet]\nrank = standard\nanswer_life = 1s\n"
                     "[service report]\nrank = bulk\nanswer_life = 1s\n"
                     "[rank urgent]\nfloor = 50\nqueue = 2\n"
                     "[rank standard]\nfloor = 30\nqueue = 2\n"
                     "[rank bulk]\nfloor = 10\nqueue = 2\n"
                     "[blocks]\nleinster-a = 10.0.0.0/8, 2001:db8::/32\n";
  std::uint16_t port = aUpstream.mPort;
  for (const char* service : { "booking", "job-sheet", "report" }) {
    endpoint address{ aUpstream.mAddress, port++ };
    text += std::string("[upstream ") + service + "-1]\nservice = " + service +
            "\nfailure_domain = leinster-a\naddress = " + address.Text() +
            "\nslots = 3\nconnections = 650\n";
  }
  return text;
}

std::string
SendRaw(const endpoint& aTo, const std::string& aBytes)
{
  asio::io_context context;
  tcp_stream stream(context);
  std::string received;
  std::array<char, 4096> chunk;
  error_code failure;
  stream.socket().connect(ToAsio(aTo), failure);
  if (failure) {
    return received;
  }
  asio::write(stream.socket(), asio::buffer(aBytes), failure);
  std::function<void()> read = [&]() {
    stream.expires_after(std::chrono::seconds(1));
    stream.async_read_some(asio::buffer(chunk),
                           [&](error_code aFailure, std::size_t aCount) {
                             received.append(chunk.data(), aCount);
                             if (!aFailure) {
                               read();
                             }
                           });
  };
  read();
  context.run();
  return received;
}

} // namespace laburnumdyke
