// One unreadable entry makes the whole message unreadable, unlike a row of the
// platform: it comes from an instance of our own, and a part would leave the
// follower with a version that it does not have.
#include "laburnumdyke/plugin/news_codec.h"

#include "laburnumdyke/kernel/number.h"
#include "laburnumdyke/proto/peer.pb.h"

namespace laburnumdyke {

namespace {

constexpr std::string_view kNewsPrefix = "/v1/news?after=";
constexpr std::uint64_t kMostAge = 3600000; // ms; no reader is silent so long

std::optional<upstream_entry>
ToEntry(const proto::upstream_entry& aMessage)
{
  std::optional<endpoint> address = ParseEndpoint(aMessage.address());
  if (aMessage.upstream().empty() || !address) {
    return std::nullopt;
  }
  upstream_entry entry;
  entry.mId = { aMessage.upstream() };
  entry.mService = { aMessage.service() };
  entry.mDomain = { aMessage.failure_domain() };
  entry.mAddress = *address;
  entry.mSlots = aMessage.slots();
  entry.mDraining = aMessage.draining();
  entry.mColdLeft = std::chrono::milliseconds(aMessage.cold_left_ms());
  entry.mSequence = aMessage.sequence();
  entry.mBorn = std::chrono::milliseconds(aMessage.born_ms());
  return entry;
}

} // namespace

std::string
NewsTarget(std::uint64_t aAfter)
{
  return std::string(kNewsPrefix) + std::to_string(aAfter);
}

std::optional<std::uint64_t>
ReadNewsTarget(std::string_view aTarget)
{
  if (aTarget.substr(0, kNewsPrefix.size()) != kNewsPrefix) {
    return std::nullopt;
  }
  return ReadNumber<std::uint64_t>(aTarget.substr(kNewsPrefix.size()));
}

std::string
EncodeNews(const upstream_news& aNews)
{
  proto::upstream_news message;
  message.set_after(aNews.mAfter);
  message.set_version(aNews.mVersion);
  message.set_whole(aNews.mIsSnapshot);
  message.set_age_ms(static_cast<std::uint64_t>(aNews.mAge.count()));
  for (const upstream_entry& entry : aNews.mEntries) {
    proto::upstream_entry* one = message.add_entries();
    one->set_upstream(entry.mId.mValue);
    one->set_service(entry.mService.mValue);
    one->set_failure_domain(entry.mDomain.mValue);
    one->set_address(entry.mAddress.Text());
    one->set_slots(entry.mSlots);
    one->set_draining(entry.mDraining);
    one->set_cold_left_ms(static_cast<std::uint64_t>(entry.mColdLeft.count()));
    one->set_sequence(entry.mSequence);
    one->set_born_ms(static_cast<std::uint64_t>(entry.mBorn.count()));
  }
  for (const upstream_id& gone : aNews.mRemovedIds) {
    message.add_gone(gone.mValue);
  }
  return message.SerializeAsString();
}

std::optional<upstream_news>
DecodeNews(std::string_view aBytes)
{
  proto::upstream_news message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      message.version() < message.after() || message.age_ms() > kMostAge) {
    return std::nullopt;
  }
  upstream_news news;
  news.mAfter = message.after();
  news.mVersion = message.version();
  news.mIsSnapshot = message.whole();
  news.mAge = std::chrono::milliseconds(message.age_ms());
  for (const proto::upstream_entry& one : message.entries()) {
    std::optional<upstream_entry> entry = ToEntry(one);
    if (!entry) {
      return std::nullopt;
    }
    news.mEntries.push_back(std::move(*entry));
  }
  for (const std::string& gone : message.gone()) {
    news.mRemovedIds.push_back({ gone });
  }
  return news;
}

} // namespace laburnumdyke
