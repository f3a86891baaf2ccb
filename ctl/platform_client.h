// The platform's table and object store, as the commands use them.
//
// Usage:
//   platform_client<blocking_http> platform(http, address);
//   std::optional<row_reading> row = platform.ReadRow();
//
// http_exchanger is what a client for HTTP must have; tests give a mock.
#pragma once

#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/decision/submission.h"
#include "laburnumdyke/plugin/http_client.h"

#include <boost/json.hpp>

#include <concepts>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace laburnumdyke {

// Exchange returns nothing where no whole answer came in time: the request may
// still have taken effect.
template<class T>
concept http_exchanger = requires(T& aHttp, client_request aRequest)
{
  {
    aHttp.Exchange(std::move(aRequest))
    } -> std::same_as<std::optional<client_answer>>;
};

template<http_exchanger Http>
class platform_client
{
public:
  platform_client(Http& aHttp, endpoint aAddress)
    : mHttp(aHttp)
    , mAddress(std::move(aAddress))
  {
  }

  // Nothing where there was no answer; revision 0 where there is no row.
  std::optional<row_reading> ReadRow()
  {
    std::optional<client_answer> answer = Send(http::verb::get, kRowTarget);
    if (answer && answer->mStatus == 404) {
      return row_reading{};
    }
    if (!answer || answer->mStatus != 200) {
      return std::nullopt;
    }
    std::optional<row_reading> row = ParseReading(answer->mBody);
    mLastRow = row ? DecodeConfigRow(row->mValue) : std::nullopt;
    return row;
  }

  write_answer WriteRow(const write_row_action& aWrite)
  {
    client_request request = Request(http::verb::put, kRowTarget);
    request.mIfMatch = std::to_string(aWrite.mRevision);
    request.mBody = aWrite.mValue;
    std::optional<client_answer> answer = mHttp.Exchange(std::move(request));
    if (answer && answer->mStatus == 200) {
      return write_answer::Written;
    }
    return answer && answer->mStatus == 412 ? write_answer::Mismatch
                                            : write_answer::NoAnswer;
  }

  // Stores a document: the chunks that the version in force does not have,
  // and its manifest last. False where one of them could not be stored.
  bool PutDocument(const put_object_action& aPut)
  {
    document_objects objects = SplitDocument(aPut.mText);
    std::set<std::string> known = KnownChunks();
    for (const object_map::value_type& entry : objects.mObjects) {
      bool isManifest = entry.first == objects.mHash;
      bool stored = isManifest || known.count(entry.first) > 0 ||
                    PutObject(entry.first, *entry.second);
      if (!stored) {
        return false;
      }
    }
    return PutObject(objects.mHash, *objects.mObjects.at(objects.mHash));
  }

  // Nothing where an object can't be read or is not the one named.
  std::optional<std::string> GetDocument(const std::string& aHash)
  {
    document_assembly assembly(aHash);
    std::optional<std::string> manifest = GetObject(aHash);
    if (!manifest || !assembly.TakeManifest(std::move(*manifest))) {
      return std::nullopt;
    }
    for (const std::string& hash : assembly.Missing()) {
      std::optional<std::string> chunk = GetObject(hash);
      if (!chunk || !assembly.TakeChunk(hash, std::move(*chunk))) {
        return std::nullopt;
      }
    }
    return assembly.Text();
  }

private:
  bool PutObject(const std::string& aHash, const std::string& aText)
  {
    client_request request = Request(http::verb::put, kObjectsTarget + aHash);
    request.mBody = aText;
    request.mTimeout = kObjectTimeout;
    std::optional<client_answer> answer = mHttp.Exchange(std::move(request));
    return answer && answer->mStatus == 200;
  }

  std::optional<std::string> GetObject(const std::string& aHash)
  {
    client_request request = Request(http::verb::get, kObjectsTarget + aHash);
    request.mTimeout = kObjectTimeout;
    std::optional<client_answer> answer = mHttp.Exchange(std::move(request));
    if (!answer || answer->mStatus != 200) {
      return std::nullopt;
    }
    return std::move(answer->mBody);
  }

  // The chunks of the version that was read last.
  std::set<std::string> KnownChunks()
  {
    if (!mLastRow) {
      return {};
    }
    document_assembly assembly(mLastRow->mContentHash);
    std::optional<std::string> manifest = GetObject(mLastRow->mContentHash);
    if (!manifest || !assembly.TakeManifest(std::move(*manifest))) {
      return {};
    }
    std::vector<std::string> chunks = assembly.Missing();
    return { chunks.begin(), chunks.end() };
  }

  inline static const std::string kRowTarget = "/v1/tables/config/rows/current";
  inline static const std::string kObjectsTarget = "/v1/objects/";
  static constexpr std::chrono::milliseconds kObjectTimeout{ 20000 };

  client_request Request(http::verb aMethod, std::string aTarget) const
  {
    client_request request;
    request.mTo = mAddress;
    request.mMethod = aMethod;
    request.mTarget = std::move(aTarget);
    return request;
  }

  std::optional<client_answer> Send(http::verb aMethod, std::string aTarget)
  {
    return mHttp.Exchange(Request(aMethod, std::move(aTarget)));
  }

  static std::optional<row_reading> ParseReading(const std::string& aBody)
  {
    boost::system::error_code failure;
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
    row_reading reading;
    reading.mRevision = static_cast<std::uint64_t>(revision->get_int64());
    reading.mValue = value->get_string().c_str();
    return reading;
  }

  Http& mHttp;
  endpoint mAddress;
  std::optional<config_row> mLastRow;
};

} // namespace laburnumdyke
