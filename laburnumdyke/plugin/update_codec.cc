// One malformed entry invalidates the whole message, unlike a malformed row of
// the platform. The sender is an instance of this product, and with a partial
// update the follower would report a version whose entries it does not have.
#include "laburnumdyke/plugin/update_codec.h"

#include "laburnumdyke/kernel/number.h"
#include "laburnumdyke/proto/peer.pb.h"

namespace laburnumdyke {

namespace {

constexpr std::string_view kTargetPrefix = "/v1/news?after=";
constexpr std::string_view kEraParameter = "&era=";
// No reader goes without a reading for this long.
constexpr std::uint64_t kMaxAgeMs = 3600000;

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
UpdateTarget(store_version aAfter)
{
  std::string target =
    std::string(kTargetPrefix) + std::to_string(aAfter.mVersion);
  if (aAfter.mEra != 0) {
    target += std::string(kEraParameter) + std::to_string(aAfter.mEra);
  }
  return target;
}

std::optional<store_version>
ReadUpdateTarget(std::string_view aTarget)
{
  if (aTarget.substr(0, kTargetPrefix.size()) != kTargetPrefix) {
    return std::nullopt;
  }
  std::string_view numbers = aTarget.substr(kTargetPrefix.size());
  std::size_t end = numbers.find(kEraParameter);
  std::optional<std::uint64_t> version =
    ReadNumber<std::uint64_t>(numbers.substr(0, end));
  std::optional<std::uint64_t> era = 0;
  if (end != std::string_view::npos) {
    era = ReadNumber<std::uint64_t>(numbers.substr(end + kEraParameter.size()));
  }
  if (!version || !era) {
    return std::nullopt;
  }
  return store_version(*era, *version);
}

std::string
EncodeUpdate(const upstream_update& aUpdate)
{
  proto::upstream_news message;
  message.set_after(aUpdate.mAfter.mVersion);
  message.set_after_era(aUpdate.mAfter.mEra);
  message.set_version(aUpdate.mVersion.mVersion);
  message.set_era(aUpdate.mVersion.mEra);
  message.set_whole(aUpdate.mIsSnapshot);
  message.set_age_ms(static_cast<std::uint64_t>(aUpdate.mAge.count()));
  for (const upstream_entry& entry : aUpdate.mEntries) {
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
  for (const upstream_id& gone : aUpdate.mRemovedIds) {
    message.add_gone(gone.mValue);
  }
  return message.SerializeAsString();
}

std::optional<upstream_update>
DecodeUpdate(std::string_view aBytes)
{
  proto::upstream_news message;
  if (!message.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      message.age_ms() > kMaxAgeMs) {
    return std::nullopt;
  }
  upstream_update update;
  update.mAfter = { message.after_era(), message.after() };
  update.mVersion = { message.era(), message.version() };
  if (update.mVersion < update.mAfter) {
    return std::nullopt;
  }
  update.mIsSnapshot = message.whole();
  update.mAge = std::chrono::milliseconds(message.age_ms());
  for (const proto::upstream_entry& one : message.entries()) {
    std::optional<upstream_entry> entry = ToEntry(one);
    if (!entry) {
      return std::nullopt;
    }
    update.mEntries.push_back(std::move(*entry));
  }
  for (const std::string& gone : message.gone()) {
    update.mRemovedIds.push_back({ gone });
  }
  return update;
}

} // namespace laburnumdyke
