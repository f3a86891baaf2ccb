// Settings and logs go to a fresh folder below the system's folder for
// temporary files; it is removed with the deployment unless KEEP_LOGS is set.
#include "laburnumdyke/testing/harness/deployment.h"

#include "laburnumdyke/decision/config_row.h"
#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/testing/harness/http_call.h"

#include <boost/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <thread>

#include <unistd.h>

namespace laburnumdyke {

namespace {

constexpr std::chrono::milliseconds kPoll{ 50 };
constexpr std::chrono::seconds kStartLimit{ 60 };

std::string
MakeFolder()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "laburnumdyke-XXXXXX").string();
  return ::mkdtemp(pattern.data());
}

boost::json::value
ParseJson(const std::string& aText)
{
  boost::system::error_code failure;
  boost::json::value parsed = boost::json::parse(aText, failure);
  return failure ? boost::json::value() : parsed;
}

} // namespace

endpoint
FreeEndpoint()
{
  // Below the range that the system gives to outgoing connections, so that
  // none of them takes the port of a process that is being started again.
  constexpr std::uint16_t kFirst = 20000;
  constexpr std::uint16_t kCount = 12000;
  static std::uint16_t sNext =
    static_cast<std::uint16_t>(::getpid() * 131L % kCount);
  asio::io_context context;
  while (true) {
    std::uint16_t port = static_cast<std::uint16_t>(kFirst + sNext);
    sNext = static_cast<std::uint16_t>((sNext + 1) % kCount);
    tcp::endpoint local(asio::ip::address_v4::loopback(), port);
    tcp::acceptor acceptor(context, local.protocol());
    error_code failure;
    acceptor.bind(local, failure);
    if (!failure) {
      return { "127.0.0.1", port };
    }
  }
}

bool
WaitUntil(const std::function<bool()>& aCondition,
          std::chrono::milliseconds aLimit)
{
  std::chrono::steady_clock::time_point limit =
    std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::string
ProgramFolder()
{
  // Test programs stand in laburnumdyke/testing below the build folder.
  std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  return self.parent_path().parent_path().parent_path().string();
}

std::string
PlatformLink(const std::string& aDaemon)
{
  return "platform of " + aDaemon;
}

deployment::deployment(deployment_options aOptions)
  : mOptions(aOptions)
  , mLinks(std::make_unique<link_set>())
  , mDomainLinks(std::make_unique<domain_links>(*mLinks, FreeEndpoint))
  , mFolder(MakeFolder())
  , mPlatform(FreeEndpoint())
{
}

deployment::~deployment()
{
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::fprintf(stderr, "logs: %s\n", mFolder.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void
deployment::AddDomain(const std::string& aDomain, const std::string& aRegion)
{
  mRegionOf[aDomain] = aRegion;
}

void
deployment::AddUpstream(const upstream_plan& aPlan)
{
  mPlans.push_back(aPlan);
  mUpstreamAddresses[aPlan.mName] = FreeEndpoint();
}

void
deployment::AddDaemon(const std::string& aName, const std::string& aDomain)
{
  mNames.push_back(aName);
  mDomainOf[aName] = aDomain;
  mAddresses[aName] = {
    FreeEndpoint(), FreeEndpoint(), FreeEndpoint(), FreeEndpoint()
  };
}

std::string
deployment::Settings(const std::string& aName) const
{
  const daemon_addresses& own = mAddresses.at(aName);
  const std::string& domain = mDomainOf.at(aName);
  auto link = mNearEnds.find(PlatformLink(aName));
  const endpoint& platform = link == mNearEnds.end() ? mPlatform : link->second;
  return "[instance]\nname = " + aName + "\nregion = " + mRegionOf.at(domain) +
         "\nfailure_domain = " + domain +
         "\n[listen]\ncaller = " + own.mCaller.Text() +
         "\nrelay = " + own.mRelay.Text() + "\npeer = " + own.mPeer.Text() +
         "\noperator = " + own.mOperator.Text() +
         "\n[platform]\naddress = " + platform.Text() +
         "\n[peers]\nseeds = " + Seeds(domain) + "\n";
}

const std::string&
deployment::FirstDaemon(const std::string& aDomain) const
{
  for (const std::string& name : mNames) {
    if (mDomainOf.at(name) == aDomain) {
      return name;
    }
  }
  return mNames.front();
}

std::string
deployment::Seeds(const std::string& aDomain) const
{
  if (!mOptions.mDomainLinks) {
    return mAddresses.at(mNames.front()).mPeer.Text();
  }
  std::string seeds;
  for (const std::pair<const std::string, std::string>& domain : mRegionOf) {
    seeds += seeds.empty() ? "" : ", ";
    seeds += mDomainLinks->PeerOf(FirstDaemon(domain.first), aDomain).Text();
  }
  return seeds;
}

void
deployment::OpenLink(const std::string& aName, const endpoint& aTo)
{
  endpoint near = FreeEndpoint();
  mLinks->Open(aName, near, aTo);
  mNearEnds[aName] = near;
}

void
deployment::OpenLinks()
{
  for (const std::string& name : mNames) {
    if (mOptions.mPlatformLinks) {
      OpenLink(PlatformLink(name), mPlatform);
    }
  }
  if (mOptions.mDomainLinks) {
    for (const std::string& name : mNames) {
      const daemon_addresses& own = mAddresses.at(name);
      mDomainLinks->Add({ name, mDomainOf.at(name), own.mPeer, own.mRelay });
    }
    mDomainLinks->Open();
  }
  for (const upstream_plan& plan : mPlans) {
    if (mOptions.mUpstreamLinks) {
      OpenLink(plan.mName, mUpstreamAddresses.at(plan.mName));
    }
  }
}

void
deployment::SetPlatform(const std::string& aFaults) const
{
  PostText(mPlatform, "/control", aFaults);
}

void
deployment::SetUpstream(const std::string& aName,
                        const std::string& aFaults) const
{
  PostText(mUpstreamAddresses.at(aName), "/control", aFaults);
}

process
deployment::StartTool(const std::vector<std::string>& aArguments,
                      const std::string& aLog) const
{
  return process(
    ProgramFolder() + "/laburnumctl", aArguments, mFolder + "/" + aLog);
}

tool_result
deployment::RunTool(const std::vector<std::string>& aArguments) const
{
  constexpr std::string_view kLog = "laburnumctl.log";
  std::filesystem::remove(mFolder + "/" + std::string(kLog));
  tool_result result;
  result.mStatus = StartTool(aArguments, std::string(kLog)).Wait(kStartLimit);
  result.mOutput = ReadLog(std::string(kLog));
  return result;
}

std::string
deployment::ReadLog(const std::string& aLog) const
{
  std::ifstream file(mFolder + "/" + aLog, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

void
deployment::StartDaemon(const std::string& aName)
{
  std::string file = mFolder + "/" + aName + ".ini";
  std::ofstream(file) << Settings(aName);
  mDaemons.erase(aName);
  mDaemons.emplace(aName,
                   process(ProgramFolder() + "/laburnumdyked",
                           { "--config", file },
                           mFolder + "/" + aName + ".log"));
}

std::string
deployment::Document(const std::vector<std::string>& aLeaving) const
{
  std::set<std::string> leaving(aLeaving.begin(), aLeaving.end());
  std::string text = mHead;
  for (const std::pair<const std::string, std::string>& domain : mRegionOf) {
    text +=
      "[failure_domain " + domain.first + "]\nregion = " + domain.second + "\n";
  }
  for (const upstream_plan& plan : mPlans) {
    auto link = mNearEnds.find(plan.mName);
    const endpoint& address = link == mNearEnds.end()
                                ? mUpstreamAddresses.at(plan.mName)
                                : link->second;
    text += "[upstream " + plan.mName + "]\nservice = " + plan.mService +
            "\nfailure_domain = " + plan.mDomain +
            "\naddress = " + address.Text() +
            "\nslots = " + std::to_string(plan.mSlots) +
            "\nconnections = 650\nstate = " +
            (leaving.count(plan.mName) > 0 ? "leaving" : "serving") + "\n";
  }
  return text;
}

bool
deployment::Submit(std::uint64_t aVersion, const std::string& aText)
{
  return SubmitTo(mPlatform, aVersion, aText);
}

endpoint
deployment::StartLaggingPlatform()
{
  endpoint listen = FreeEndpoint();
  StartPlatform(listen);
  bool up =
    WaitUntil([&]() { return SubmitTo(listen, 1, Document({})); }, kStartLimit);
  if (!up) {
    std::fprintf(stderr, "the lagging platform took no document\n");
    std::exit(2);
  }
  return listen;
}

void
deployment::UsePlatform(const std::string& aName, const endpoint& aPlatform)
{
  mNearEnds[PlatformLink(aName)] = aPlatform;
}

bool
deployment::SubmitTo(const endpoint& aPlatform,
                     std::uint64_t aVersion,
                     const std::string& aText)
{
  document_result parsed = ParseDocument(aText);
  if (!parsed.mDocument) {
    return false;
  }
  std::string canonical = RenderDocument(*parsed.mDocument);
  config_row row;
  row.mVersion = aVersion;
  document_objects objects = SplitDocument(canonical);
  row.mContentHash = objects.mHash;
  row.mChangeId = "change-" + std::to_string(aVersion);
  row.mSubmitter = "test";
  for (const object_map::value_type& entry : objects.mObjects) {
    call_request object;
    object.mTo = aPlatform;
    object.mMethod = http::verb::put;
    object.mTarget = "/v1/objects/" + entry.first;
    object.mBody = *entry.second;
    if (CallNow(object).mStatus != 200) {
      return false;
    }
  }
  call_request write;
  write.mTo = aPlatform;
  write.mMethod = http::verb::put;
  write.mTarget = "/v1/tables/config/rows/current";
  write.mHeaders = { { "If-Match", std::to_string(aVersion - 1) } };
  write.mBody = EncodeConfigRow(row);
  return CallNow(write).mStatus == 200;
}

void
deployment::StartPlatform(const endpoint& aListen)
{
  mStandIns.emplace_back(ProgramFolder() +
                           "/laburnumdyke/testing/platform_standin",
                         std::vector<std::string>{ "--listen", aListen.Text() },
                         mFolder + "/platform.log");
}

void
deployment::StartStandIns()
{
  std::string standIns = ProgramFolder() + "/laburnumdyke/testing/";
  StartPlatform(mPlatform);
  for (const upstream_plan& plan : mPlans) {
    mStandIns.emplace_back(
      standIns + "upstream_standin",
      std::vector<std::string>{ "--listen",
                                mUpstreamAddresses.at(plan.mName).Text(),
                                "--name",
                                plan.mName,
                                "--slots",
                                std::to_string(plan.mSlots) },
      mFolder + "/" + plan.mName + ".log");
  }
}

void
deployment::CutDomains(const std::string& aDomain,
                       const std::string& aOther,
                       bool aCut)
{
  mDomainLinks->SetCut(aDomain, aOther, aCut);
}

void
deployment::Start(const std::string& aHead)
{
  mHead = aHead;
  OpenLinks();
  document_result checked = ParseDocument(Document({}));
  for (const text_fault& fault : checked.mFaults) {
    std::fprintf(stderr, "%s\n", fault.Describe("document").c_str());
  }
  if (!checked.mDocument) {
    std::exit(2);
  }
  StartStandIns();
  bool up = WaitUntil([&]() { return Submit(1, Document({})); }, kStartLimit);
  if (!up) {
    std::fprintf(stderr, "the platform's stand-in took no document\n");
    std::exit(2);
  }
  for (const std::string& name : mNames) {
    StartDaemon(name);
  }
}

std::string
deployment::Status(const std::string& aName) const
{
  return GetText(mAddresses.at(aName).mOperator, "/v1/status");
}

bool
deployment::WaitForVersion(std::uint64_t aVersion,
                           std::chrono::milliseconds aLimit)
{
  return WaitUntil(
    [&]() {
      std::size_t running = 0;
      std::size_t ready = 0;
      for (std::pair<const std::string, process>& one : mDaemons) {
        running += one.second.Status() ? 0 : 1;
      }
      for (std::pair<const std::string, process>& one : mDaemons) {
        boost::json::value status = one.second.Status()
                                      ? boost::json::value()
                                      : ParseJson(Status(one.first));
        if (status.is_object()) {
          const boost::json::object& object = status.get_object();
          bool good =
            object.at("version").to_number<std::uint64_t>() >= aVersion &&
            object.at("peers").as_array().size() + 1 >= running;
          ready += good ? 1 : 0;
        }
      }
      return ready == running;
    },
    aLimit);
}

std::uint64_t
deployment::SlotsWithEntries() const
{
  std::set<std::string> domains;
  for (const std::pair<const std::string, std::string>& one : mDomainOf) {
    domains.insert(one.second);
  }
  std::uint64_t slots = 0;
  for (const upstream_plan& plan : mPlans) {
    slots += domains.count(plan.mDomain) != 0 ? plan.mSlots : 0;
  }
  return slots;
}

bool
deployment::WaitForHomes(std::chrono::milliseconds aLimit)
{
  std::uint64_t wanted = SlotsWithEntries();
  return WaitUntil(
    [&]() {
      std::uint64_t free = 0;
      for (std::pair<const std::string, process>& one : mDaemons) {
        boost::json::value status = one.second.Status()
                                      ? boost::json::value()
                                      : ParseJson(Status(one.first));
        if (!status.is_object()) {
          continue;
        }
        for (const boost::json::value& credit :
             status.get_object().at("credits").as_array()) {
          free += credit.as_object().at("free").to_number<std::uint64_t>();
        }
      }
      return free >= wanted;
    },
    aLimit);
}

} // namespace laburnumdyke
