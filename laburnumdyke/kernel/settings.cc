// Parsing and the checks for unknown and missing keys all use one table of
// keys.
#include "laburnumdyke/kernel/settings.h"

#include <charconv>
#include <cmath>
#include <functional>
#include <limits>
#include <ratio>
#include <set>

namespace laburnumdyke {

namespace {

constexpr std::size_t kMaxNameBytes = 48;
constexpr std::size_t kMaxWorkers = 64;

struct setting_key
{
  std::string_view mSection;
  std::string_view mKey;
  bool mRequired;
  std::string_view mExpected;
  std::function<bool(settings&, std::string_view)> mSet;
};

bool
SetName(std::string& aTarget, std::string_view aText)
{
  aTarget = aText;
  return IsName(aText);
}

bool
SetEndpoint(endpoint& aTarget, std::string_view aText)
{
  std::optional<endpoint> parsed = ParseEndpoint(aText);
  if (parsed) {
    aTarget = *parsed;
  }
  return parsed.has_value();
}

bool
SetWorkers(std::size_t& aTarget, std::string_view aText)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget >= 1 &&
         aTarget <= kMaxWorkers;
}

bool
SetEndpoints(std::vector<endpoint>& aTarget, std::string_view aText)
{
  while (!aText.empty()) {
    std::size_t comma = aText.find(',');
    std::string_view item = aText.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    endpoint parsed;
    if (!SetEndpoint(parsed, item)) {
      return false;
    }
    aTarget.push_back(parsed);
    aText.remove_prefix(comma == std::string_view::npos ? aText.size()
                                                        : comma + 1);
  }
  return true;
}

bool
SetFront(front_kind& aTarget, std::string_view aText)
{
  aTarget = aText == "hosts" ? front_kind::Hosts : front_kind::Own;
  return aText == "hosts" || aText == "own";
}

// Accepts the names in aValues.
template<class Value>
bool
SetChoice(Value& aTarget,
          std::string_view aText,
          const std::map<std::string_view, Value>& aValues)
{
  auto found = aValues.find(aText);
  if (found == aValues.end()) {
    return false;
  }
  aTarget = found->second;
  return true;
}

bool
SetLearnedSpeed(learned_speed& aTarget, std::string_view aText)
{
  return SetChoice(aTarget,
                   aText,
                   { { "reported", learned_speed::Reported },
                     { "always", learned_speed::Always },
                     { "never", learned_speed::Never } });
}

bool
SetUnevenLoad(uneven_load& aTarget, std::string_view aText)
{
  return SetChoice(aTarget,
                   aText,
                   { { "auto", uneven_load::Auto },
                     { "always", uneven_load::Always },
                     { "never", uneven_load::Never } });
}

// Accepts a non-negative number, such as 1.5.
bool
SetNumber(double& aTarget, std::string_view aText)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget >= 0;
}

// Accepts a positive whole number.
bool
SetSize(std::size_t& aTarget, std::string_view aText)
{
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed = std::from_chars(aText.data(), end, aTarget);
  return parsed.ec == std::errc() && parsed.ptr == end && aTarget > 0;
}

// Accepts "1500ms", "2s" or "6.5s"; rounds to whole milliseconds.
bool
SetDuration(std::chrono::milliseconds& aTarget, std::string_view aText)
{
  static constexpr double kMaxCount = std::numeric_limits<std::uint32_t>::max();
  double count = 0;
  const char* end = aText.data() + aText.size();
  std::from_chars_result parsed =
    std::from_chars(aText.data(), end, count, std::chars_format::fixed);
  if (parsed.ec != std::errc() || !(count >= 0 && count <= kMaxCount)) {
    return false;
  }
  std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
  double milliseconds = unit == "s" ? count * std::milli::den : count;
  aTarget = std::chrono::milliseconds(std::llround(milliseconds));
  return unit == "s" || unit == "ms";
}

bool
SetYesOrNo(bool& aTarget, std::string_view aText)
{
  aTarget = aText == "yes";
  return aTarget || aText == "no";
}

const std::vector<setting_key>&
Keys()
{
  static constexpr std::string_view kName =
    "a name of lower-case letters, digits and hyphens, at most 48 bytes";
  static constexpr std::string_view kEndpoint =
    "an IP address and port such as 127.0.0.1:7001";
  static constexpr std::string_view kNumber = "a number such as 1.5";
  static constexpr std::string_view kBytes =
    "a whole number of bytes, at least 1";
  static constexpr std::string_view kDuration = "a time such as 1500ms or 2.5s";
  using text = std::string_view;
  static const std::vector<setting_key> kKeys = {
    { "instance",
      "name",
      true,
      kName,
      [](settings& aS, text aT) { return SetName(aS.mInstance, aT); } },
    { "instance",
      "region",
      true,
      kName,
      [](settings& aS, text aT) { return SetName(aS.mRegion, aT); } },
    { "instance",
      "failure_domain",
      true,
      kName,
      [](settings& aS, text aT) { return SetName(aS.mFailureDomain, aT); } },
    { "instance",
      "workers",
      false,
      "a whole number from 1 to 64",
      [](settings& aS, text aT) { return SetWorkers(aS.mWorkers, aT); } },
    { "instance",
      "front",
      false,
      "own or hosts",
      [](settings& aS, text aT) { return SetFront(aS.mFront, aT); } },
    { "listen",
      "caller",
      true,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mCaller, aT); } },
    { "listen",
      "relay",
      true,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mRelay, aT); } },
    { "listen",
      "peer",
      true,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mPeer, aT); } },
    { "listen",
      "operator",
      true,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mOperator, aT); } },
    { "listen",
      "ready",
      false,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mReady, aT); } },
    { "listen",
      "directory",
      false,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mDirectory, aT); } },
    { "listen",
      "metrics",
      false,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mMetrics, aT); } },
    { "platform",
      "address",
      true,
      kEndpoint,
      [](settings& aS, text aT) { return SetEndpoint(aS.mPlatform, aT); } },
    { "peers",
      "seeds",
      false,
      "IP addresses and ports, separated by commas",
      [](settings& aS, text aT) { return SetEndpoints(aS.mSeeds, aT); } },
    { "peers",
      "platform_list",
      false,
      "yes or no",
      [](settings& aS, text aT) {
        return SetYesOrNo(aS.mUsePlatformList, aT);
      } },
    { "bounds",
      "most_shift",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mMostShift, aT);
      } },
    { "bounds",
      "cold_overshoot",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mColdOvershoot, aT);
      } },
    { "bounds",
      "cold_slack",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mColdSlack, aT);
      } },
    { "bounds",
      "repeat_ratio",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mRepeatRatio, aT);
      } },
    { "bounds",
      "repeat_extra",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mRepeatExtra, aT);
      } },
    { "bounds",
      "repeat_window",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mBounds.mRepeatWindow, aT);
      } },
    { "bounds",
      "drain_timeout",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mBounds.mDrainTimeout, aT);
      } },
    { "bounds",
      "grace",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mBounds.mGrace, aT);
      } },
    { "bounds",
      "longest_answer_life",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mBounds.mMaxLookupTtl, aT);
      } },
    { "bounds",
      "revoke_timeout",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mBounds.mRevokeTimeout, aT);
      } },
    { "bounds",
      "quota_overshoot",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mQuotaOvershoot, aT);
      } },
    { "bounds",
      "quota_slack",
      false,
      kNumber,
      [](settings& aS, text aT) {
        return SetNumber(aS.mBounds.mQuotaSlack, aT);
      } },
    { "steering",
      "learned_speed",
      false,
      "reported, always or never",
      [](settings& aS, text aT) {
        return SetLearnedSpeed(aS.mLearnedSpeed, aT);
      } },
    { "steering",
      "uneven_load",
      false,
      "auto, always or never",
      [](settings& aS, text aT) { return SetUnevenLoad(aS.mUnevenLoad, aT); } },
    { "limits",
      "process_memory",
      false,
      kBytes,
      [](settings& aS, text aT) {
        return SetSize(aS.mLimits.mProcessMemory, aT);
      } },
    { "limits",
      "body_memory",
      false,
      kBytes,
      [](settings& aS, text aT) {
        return SetSize(aS.mLimits.mBodyMemory, aT);
      } },
    { "limits",
      "body_rate",
      false,
      kBytes,
      [](settings& aS, text aT) { return SetSize(aS.mLimits.mBodyRate, aT); } },
    { "limits",
      "body_grace",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mLimits.mBodyGrace, aT);
      } },
    { "limits",
      "reader_rate",
      false,
      kBytes,
      [](settings& aS, text aT) {
        return SetSize(aS.mLimits.mReaderRate, aT);
      } },
    { "limits",
      "reader_grace",
      false,
      kDuration,
      [](settings& aS, text aT) {
        return SetDuration(aS.mLimits.mReaderGrace, aT);
      } },
  };
  return kKeys;
}

const setting_key*
FindKey(const ini_entry& aEntry)
{
  for (const setting_key& key : Keys()) {
    if (key.mSection == aEntry.mSection && key.mKey == aEntry.mKey) {
      return &key;
    }
  }
  return nullptr;
}

// Adds an entry of [domains], which has one key per failure domain. Returns
// what was expected if the entry is invalid.
std::optional<std::string_view>
AddDomain(settings& aSettings, const ini_entry& aEntry)
{
  if (!IsName(aEntry.mKey) || !IsName(aEntry.mValue)) {
    return "a failure domain and its region";
  }
  bool isNew = aSettings.mDomains.emplace(aEntry.mKey, aEntry.mValue).second;
  return isNew ? std::nullopt
               : std::optional<std::string_view>("the domain only once");
}

// Checks for the settings that front = hosts requires.
void
CheckFront(const settings& aSettings, std::vector<text_fault>& aFaults)
{
  if (aSettings.mFront != front_kind::Hosts) {
    return;
  }
  static constexpr std::string_view kExpected = "a value, with front = hosts";
  if (aSettings.mReady.mPort == 0) {
    aFaults.push_back({ 0, "listen.ready", std::string(kExpected) });
  }
  if (aSettings.mDirectory.mPort == 0) {
    aFaults.push_back({ 0, "listen.directory", std::string(kExpected) });
  }
  if (aSettings.mDomains.count(aSettings.mFailureDomain) == 0) {
    aFaults.push_back(
      { 0, "domains", "the failure domain of the instance among the domains" });
  }
}

std::string
FieldName(std::string_view aSection, std::string_view aKey)
{
  return std::string(aSection) + "." + std::string(aKey);
}

} // namespace

bool
IsName(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxNameBytes || aText.front() < 'a' ||
      aText.front() > 'z') {
    return false;
  }
  return aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
         std::string_view::npos;
}

settings_result
ParseSettings(std::string_view aText)
{
  settings_result result;
  settings parsed;
  ini_text text = ParseIni(aText);
  result.mFaults = text.mFaults;
  std::set<std::string> seen;
  for (const ini_entry& entry : text.mEntries) {
    std::string field = FieldName(entry.mSection, entry.mKey);
    if (entry.mSection == "domains") {
      std::optional<std::string_view> expected = AddDomain(parsed, entry);
      if (expected) {
        result.mFaults.push_back(
          { entry.mLine, field, std::string(*expected) });
      }
      continue;
    }
    const setting_key* key = FindKey(entry);
    if (key == nullptr) {
      result.mFaults.push_back({ entry.mLine, field, "a known setting" });
    } else if (!seen.insert(field).second) {
      result.mFaults.push_back({ entry.mLine, field, "the setting only once" });
    } else if (!key->mSet(parsed, entry.mValue)) {
      result.mFaults.push_back(
        { entry.mLine, field, std::string(key->mExpected) });
    }
  }
  for (const setting_key& key : Keys()) {
    std::string field = FieldName(key.mSection, key.mKey);
    if (key.mRequired && seen.count(field) == 0) {
      result.mFaults.push_back({ 0, field, std::string(key.mExpected) });
    }
  }
  CheckFront(parsed, result.mFaults);
  if (result.mFaults.empty()) {
    result.mSettings = std::move(parsed);
  }
  return result;
}

} // namespace laburnumdyke
