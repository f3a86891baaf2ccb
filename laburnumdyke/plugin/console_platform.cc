// The pure submission names the next step; here it is carried out and its
// answer handed back, with the time it came. Chunks that the version in force
// has are not sent again.
#include "laburnumdyke/plugin/console_platform.h"

#include "laburnumdyke/decision/document_chunks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

namespace laburnumdyke {

namespace {

constexpr std::string_view kRowTarget = "/v1/tables/config/rows/current";
constexpr std::string_view kObjectsTarget = "/v1/objects/";
constexpr std::chrono::milliseconds kObjectTimeout{ 5000 };

instant
Now()
{
  return std::chrono::steady_clock::now();
}

std::optional<row_reading>
ParseReading(const std::string& aBody)
{
  error_code failure;
  boost::json::value parsed = boost::json::parse(aBody, failure);
  if (failure || !parsed.is_object()) {
    return std::nullopt;
  }
  const boost::json::value* value = parsed.get_object().if_contains("value");
  const boost::json::value* revision =
    parsed.get_object().if_contains("revision");
  if (value == nullptr || !value->is_string() || revision == nullptr ||
      !revision->is_int64() || revision->get_int64() <= 0) {
    return std::nullopt;
  }
  return row_reading{ static_cast<std::uint64_t>(revision->get_int64()),
                      std::string(FromBeast(value->get_string())) };
}

} // namespace

client_request
console_platform::Request(http::verb aMethod, std::string aTarget) const
{
  client_request request;
  request.mTo = mAddress;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  return request;
}

asio::awaitable<std::optional<std::string>>
console_platform::GetObject(std::string aHash)
{
  client_request request =
    Request(http::verb::get, std::string(kObjectsTarget) + aHash);
  request.mTimeout = kObjectTimeout;
  std::optional<client_answer> answer = co_await Exchange(request);
  if (!answer || answer->mStatus != 200) {
    co_return std::nullopt;
  }
  co_return std::move(answer->mBody);
}

asio::awaitable<bool>
console_platform::PutObject(std::string aHash, std::string aText)
{
  client_request request =
    Request(http::verb::put, std::string(kObjectsTarget) + aHash);
  request.mBody = std::move(aText);
  request.mTimeout = kObjectTimeout;
  std::optional<client_answer> answer = co_await Exchange(request);
  co_return answer && answer->mStatus == 200;
}

asio::awaitable<std::optional<std::string>>
console_platform::GetDocument(std::string aHash)
{
  document_assembly assembly(aHash);
  std::optional<std::string> manifest = co_await GetObject(aHash);
  if (!manifest || !assembly.TakeManifest(std::move(*manifest))) {
    co_return std::nullopt;
  }
  std::vector<std::string> missing = assembly.Missing();
  for (const std::string& hash : missing) {
    std::optional<std::string> chunk = co_await GetObject(hash);
    if (!chunk || !assembly.TakeChunk(hash, std::move(*chunk))) {
      co_return std::nullopt;
    }
  }
  co_return assembly.Text();
}

asio::awaitable<std::set<std::string>>
console_platform::KnownChunks()
{
  std::set<std::string> known;
  if (mLastHash.empty()) {
    co_return known;
  }
  document_assembly assembly(mLastHash);
  std::optional<std::string> manifest = co_await GetObject(mLastHash);
  if (manifest && assembly.TakeManifest(std::move(*manifest))) {
    std::vector<std::string> chunks = assembly.Missing();
    known.insert(chunks.begin(), chunks.end());
  }
  co_return known;
}

asio::awaitable<bool>
console_platform::PutDocument(const put_object_action& aPut)
{
  document_objects objects = SplitDocument(aPut.mText);
  std::set<std::string> known = co_await KnownChunks();
  for (const object_map::value_type& entry : objects.mObjects) {
    if (entry.first == objects.mHash || known.count(entry.first) > 0) {
      continue;
    }
    bool stored = co_await PutObject(entry.first, *entry.second);
    if (!stored) {
      co_return false;
    }
  }
  co_return co_await PutObject(objects.mHash,
                               *objects.mObjects.at(objects.mHash));
}

asio::awaitable<std::optional<row_reading>>
console_platform::ReadRow()
{
  client_request request = Request(http::verb::get, std::string(kRowTarget));
  std::optional<client_answer> answer = co_await Exchange(request);
  if (answer && answer->mStatus == 404) {
    co_return row_reading{};
  }
  if (!answer || answer->mStatus != 200) {
    co_return std::nullopt;
  }
  std::optional<row_reading> row = ParseReading(answer->mBody);
  std::optional<config_row> state =
    row ? DecodeConfigRow(row->mValue) : std::nullopt;
  mLastHash = state ? state->mContentHash : std::string();
  co_return row;
}

asio::awaitable<write_answer>
console_platform::WriteRow(const write_row_action& aWrite)
{
  client_request request = Request(http::verb::put, std::string(kRowTarget));
  request.mIfMatch = std::to_string(aWrite.mRevision);
  request.mBody = aWrite.mValue;
  std::optional<client_answer> answer = co_await Exchange(request);
  if (answer && answer->mStatus == 200) {
    co_return write_answer::Written;
  }
  co_return answer && answer->mStatus == 412 ? write_answer::Mismatch
                                             : write_answer::NoAnswer;
}

asio::awaitable<submission_action>
console_platform::Perform(submission& aSubmission,
                          const submission_action& aAction)
{
  if (std::holds_alternative<read_row_action>(aAction)) {
    std::optional<row_reading> row = co_await ReadRow();
    co_return aSubmission.OnRow(row, Now());
  }
  if (const put_object_action* put = std::get_if<put_object_action>(&aAction)) {
    bool stored = co_await PutDocument(*put);
    co_return aSubmission.OnObjectStored(stored, Now());
  }
  if (const get_object_action* get = std::get_if<get_object_action>(&aAction)) {
    std::optional<std::string> text = co_await GetDocument(get->mHash);
    co_return aSubmission.OnObject(text, Now());
  }
  if (const write_row_action* write = std::get_if<write_row_action>(&aAction)) {
    write_answer answer = co_await WriteRow(*write);
    co_return aSubmission.OnWritten(answer, Now());
  }
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::get<wait_action>(aAction).mUntil);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return aSubmission.OnTimer(Now());
}

asio::awaitable<submission_outcome>
console_platform::Submit(submission_request aRequest)
{
  submission one(std::move(aRequest), Now());
  submission_action action = one.Start(Now());
  while (!std::holds_alternative<submission_outcome>(action)) {
    submission_action next = co_await Perform(one, action);
    action = std::move(next);
  }
  co_return std::get<submission_outcome>(std::move(action));
}

} // namespace laburnumdyke
