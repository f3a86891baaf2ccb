// Routes by the path's segments: five shapes of path need no table.
#include "laburnumdyke/testing/standin/platform_exchange.h"

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/testing/standin/control_form.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumdyke {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::size_t kHashDigits = 64;
constexpr std::chrono::milliseconds kMaxDelay{ 600000 };

bool
IsRowName(std::string_view aText)
{
  auto allowed = [](char aByte) {
    return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
           (aByte >= '0' && aByte <= '9') || aByte == '.' || aByte == '-' ||
           aByte == '_';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

bool
IsHash(std::string_view aText)
{
  return aText.size() == kHashDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// The value as it would be read back is the value written.
bool
IsUtf8(const std::string& aText)
{
  boost::system::error_code failure;
  json::parse(json::serialize(json::string(aText)), failure);
  return !failure;
}

short_answer
Answer(const whole_request& aRequest, http::status aStatus, std::string aJson)
{
  return MakeAnswer(aStatus, std::move(aJson), aRequest.keep_alive());
}

short_answer
Malformed(platform_model& aModel,
          const whole_request& aRequest,
          std::string_view aReason)
{
  aModel.Counters().mMalformed++;
  return Answer(aRequest, http::status::bad_request, ErrorJson(aReason));
}

short_answer
WrongMethod(platform_model& aModel, const whole_request& aRequest)
{
  aModel.Counters().mMalformed++;
  return Answer(aRequest,
                http::status::method_not_allowed,
                ErrorJson("method not allowed here"));
}

std::string
RowJson(const table_row& aRow)
{
  json::object result;
  result["revision"] = aRow.mRevision;
  result["value"] = aRow.mValue;
  return json::serialize(result);
}

std::optional<short_answer>
WriteRow(platform_model& aModel, whole_request& aRequest, const row_key& aKey)
{
  boost::beast::string_view match = aRequest[http::field::if_match];
  std::optional<std::uint64_t> revision = ParseWhole(
    { match.data(), match.size() }, std::numeric_limits<std::int64_t>::max());
  if (!revision) {
    return Malformed(aModel, aRequest, "If-Match: expected a revision");
  }
  if (aRequest.body().size() > kMaxValueBytes) {
    aModel.Counters().mMalformed++;
    return Answer(aRequest,
                  http::status::payload_too_large,
                  ErrorJson("value: expected at most 1048576 bytes"));
  }
  if (!IsUtf8(aRequest.body())) {
    return Malformed(aModel, aRequest, "value: expected UTF-8");
  }
  write_result result =
    aModel.Write(aKey, *revision, std::move(aRequest.body()));
  if (!result.mWritten) {
    return Answer(
      aRequest, http::status::precondition_failed, RowJson(result.mRow));
  }
  if (aModel.TakeLostWriteAnswer()) {
    return std::nullopt;
  }
  json::object written;
  written["revision"] = result.mRow.mRevision;
  return Answer(aRequest, http::status::ok, json::serialize(written));
}

std::optional<short_answer>
PerformRow(platform_model& aModel, whole_request& aRequest, const row_key& aKey)
{
  if (!IsRowName(aKey.mTable) || !IsRowName(aKey.mKey)) {
    return Malformed(aModel, aRequest, "name of a table or row");
  }
  if (aRequest.method() == http::verb::put) {
    return WriteRow(aModel, aRequest, aKey);
  }
  if (aRequest.method() != http::verb::get) {
    return WrongMethod(aModel, aRequest);
  }
  std::optional<table_row> row = aModel.Read(aKey);
  if (!row) {
    return Answer(aRequest, http::status::not_found, ErrorJson("no such row"));
  }
  return Answer(aRequest, http::status::ok, RowJson(*row));
}

std::optional<short_answer>
PerformObject(platform_model& aModel,
              whole_request& aRequest,
              const std::string& aHash)
{
  if (!IsHash(aHash)) {
    return Malformed(aModel, aRequest, "expected a SHA-256 in hexadecimal");
  }
  if (aRequest.method() == http::verb::put) {
    if (!aModel.PutObject(aHash, std::move(aRequest.body()))) {
      return Malformed(aModel, aRequest, "the bytes have another hash");
    }
    if (aModel.TakeLostObjectAnswer()) {
      return std::nullopt;
    }
    return Answer(aRequest, http::status::ok, "{}");
  }
  if (aRequest.method() != http::verb::get) {
    return WrongMethod(aModel, aRequest);
  }
  const std::string* bytes = aModel.GetObject(aHash);
  if (!bytes) {
    return Answer(
      aRequest, http::status::not_found, ErrorJson("no such object"));
  }
  short_answer answer = Answer(aRequest, http::status::ok, *bytes);
  answer.set(http::field::content_type, "application/octet-stream");
  return answer;
}

// Nothing where the body is not an instance's.
std::optional<listed_instance>
ParseInstance(const std::string& aName, const std::string& aBody)
{
  boost::system::error_code failure;
  json::value parsed = json::parse(aBody, failure);
  if (failure || !parsed.is_object() || parsed.get_object().size() != 2) {
    return std::nullopt;
  }
  const json::value* address = parsed.get_object().if_contains("address");
  const json::value* state = parsed.get_object().if_contains("state");
  if (!address || !address->is_string() || !state || !state->is_string()) {
    return std::nullopt;
  }
  std::string addressText(address->get_string().c_str());
  std::optional<listed_state> listed =
    ParseListedState(state->get_string().c_str());
  if (!listed || !ParseEndpoint(addressText)) {
    return std::nullopt;
  }
  return listed_instance{ aName, addressText, *listed };
}

short_answer
PerformInstance(platform_model& aModel,
                const whole_request& aRequest,
                const std::string& aName,
                instant aNow)
{
  if (!IsRowName(aName)) {
    return Malformed(aModel, aRequest, "name of an instance");
  }
  if (aRequest.method() == http::verb::delete_) {
    aModel.RemoveInstance(aNow, aName);
    return Answer(aRequest, http::status::ok, "{}");
  }
  if (aRequest.method() != http::verb::put) {
    return WrongMethod(aModel, aRequest);
  }
  std::optional<listed_instance> parsed = ParseInstance(aName, aRequest.body());
  if (!parsed) {
    return Malformed(
      aModel, aRequest, "expected an address and a state, live or leaving");
  }
  aModel.PutInstance(aNow, *parsed);
  return Answer(aRequest, http::status::ok, "{}");
}

short_answer
ListInstances(platform_model& aModel,
              const whole_request& aRequest,
              instant aNow)
{
  if (aRequest.method() != http::verb::get) {
    return WrongMethod(aModel, aRequest);
  }
  boost::beast::string_view target = aRequest.target();
  std::vector<query_parameter> query =
    SplitTarget({ target.data(), target.size() }).mQuery;
  bool isKnown =
    query.empty() || (query.size() == 1 && query.front().mName == "state" &&
                      query.front().mValue == "leaving");
  if (!isKnown) {
    return Malformed(aModel, aRequest, "expected state=leaving or no query");
  }
  json::array list;
  for (const listed_instance& each : aModel.Instances(aNow)) {
    if (!query.empty() && each.mState != listed_state::Leaving) {
      continue;
    }
    std::string_view state = ToString(each.mState);
    json::object entry;
    entry["name"] = each.mName;
    entry["address"] = each.mAddress;
    entry["state"] = json::string_view(state.data(), state.size());
    list.push_back(std::move(entry));
  }
  json::object result;
  result["instances"] = std::move(list);
  return Answer(aRequest, http::status::ok, json::serialize(result));
}

} // namespace

std::optional<short_answer>
PerformPlatformRequest(platform_model& aModel,
                       whole_request& aRequest,
                       instant aNow)
{
  boost::beast::string_view target = aRequest.target();
  std::vector<std::string> path =
    SplitPath(SplitTarget({ target.data(), target.size() }).mPath);
  bool versioned = path.size() > 1 && path[0] == "v1";
  if (versioned && path.size() == 5 && path[1] == "tables" &&
      path[3] == "rows") {
    return PerformRow(aModel, aRequest, { path[2], path[4] });
  }
  if (versioned && path.size() == 3 && path[1] == "objects") {
    return PerformObject(aModel, aRequest, path[2]);
  }
  if (versioned && path.size() == 3 && path[1] == "instances") {
    return PerformInstance(aModel, aRequest, path[2], aNow);
  }
  if (versioned && path.size() == 2 && path[1] == "instances") {
    return ListInstances(aModel, aRequest, aNow);
  }
  aModel.Counters().mMalformed++;
  return Answer(aRequest, http::status::not_found, ErrorJson("no such path"));
}

std::optional<std::string>
ControlPlatform(platform_model& aModel, const std::string& aBody)
{
  constexpr std::uint64_t kMaxLost = 1000000;
  platform_faults next = aModel.Faults();
  control_form form;
  form.Flag("outage", next.mOutage);
  form.Time("delay_ms", kMaxDelay, next.mDelay);
  form.Number("lose_write_answers", kMaxLost, next.mLoseWriteAnswers);
  form.Number("lose_object_answers", kMaxLost, next.mLoseObjectAnswers);
  form.Time("list_lag_ms", kMaxListLag, next.mListLag);
  form.Flag("stale_reads", next.mStaleReads);
  std::optional<std::string> fault = form.Read(aBody);
  if (!fault) {
    aModel.SetFaults(next);
  }
  return fault;
}

std::string
PlatformCountersJson(platform_model& aModel)
{
  const platform_counters& counters = aModel.Counters();
  json::object result;
  result["reads"] = counters.mReads;
  result["writes"] = counters.mWrites;
  result["conflicts"] = counters.mConflicts;
  result["lost_answers"] = counters.mLostAnswers;
  result["list_reads"] = counters.mListReads;
  result["malformed"] = counters.mMalformed;
  return json::serialize(result);
}

} // namespace laburnumdyke
