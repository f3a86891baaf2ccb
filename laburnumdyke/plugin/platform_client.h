// Client of the platform's configuration table, object store and instance list.
// The console, config_watch and the command-line tool use it. Peers serve
// objects with the same interface.
//
// Usage:
//   asio_http http;
//   platform_client<asio_http> platform(http, address);
//   row_answer row = co_await platform.ReadRow();
//
// http_exchanger is the interface of the HTTP client; tests supply a mock.
//
// Options: platform_options. Errors are returned as values: a write without an
// answer may have taken effect; a read without one returns no result.
#pragma once

#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/decision/instance_list.h"
#include "laburnumdyke/decision/submission.h"
#include "laburnumdyke/plugin/http_client.h"

#include <concepts>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumdyke {

// Exchange() returns nullopt if no complete answer arrived in time; the request
// may still have taken effect.
template<class T>
concept http_exchanger = requires(T& aHttp, client_request aRequest)
{
  {
    aHttp.Exchange(std::move(aRequest))
    } -> std::same_as<asio::awaitable<std::optional<client_answer>>>;
};

struct asio_http
{
  asio::awaitable<std::optional<client_answer>> Exchange(
    client_request aRequest)
  {
    return laburnumdyke::Exchange(std::move(aRequest));
  }
};

struct platform_options
{
  std::chrono::milliseconds mTimeout{ 2000 };
  std::chrono::milliseconds mObjectTimeout{ 5000 }; // per object
};

enum class row_status
{
  Read,
  Absent, // no row has been written yet
  Malformed,
  NoAnswer, // or an answer that does not say whether there is a row
};

struct row_answer
{
  row_status mStatus = row_status::NoAnswer;
  row_snapshot mSnapshot; // revision 0 unless read

  // The row, with revision 0 if it is absent; nullopt if neither is certain.
  std::optional<row_snapshot> Snapshot() const;
};

// Decodes the answer to a read of the row.
row_answer
ReadRowAnswer(const std::optional<client_answer>& aAnswer);

// Decodes the answer to a conditional write of the row.
write_answer
ReadWriteAnswer(const std::optional<client_answer>& aAnswer);

// Selects the instances to read from the platform's list.
enum class listed_instances
{
  All,
  Leaving,
};

// Decodes the list of instances, without its malformed entries; nullopt if the
// answer is not a list.
std::optional<std::vector<list_entry>>
ReadListAnswer(const std::optional<client_answer>& aAnswer);

// Encodes an instance's entry for the platform's list, as JSON.
std::string
InstanceBody(const endpoint& aAddress, std::string_view aState);

template<http_exchanger Http>
class platform_client
{
public:
  platform_client(Http& aHttp,
                  endpoint aAddress,
                  platform_options aOptions = {})
    : mHttp(aHttp)
    , mAddress(std::move(aAddress))
    , mOptions(aOptions)
  {
  }

  asio::awaitable<row_answer> ReadRow()
  {
    std::optional<client_answer> answer = co_await mHttp.Exchange(
      Request(http::verb::get, std::string(kRowTarget)));
    row_answer row = ReadRowAnswer(answer);
    if (row.mStatus == row_status::Read ||
        row.mStatus == row_status::Malformed) {
      mLastRow = DecodeConfigRow(row.mSnapshot.mValue);
    }
    co_return row;
  }

  asio::awaitable<write_answer> WriteRow(write_row_action aWrite)
  {
    client_request request = Request(http::verb::put, std::string(kRowTarget));
    request.mIfMatch = std::to_string(aWrite.mRevision);
    request.mBody = std::move(aWrite.mValue);
    std::optional<client_answer> answer =
      co_await mHttp.Exchange(std::move(request));
    co_return ReadWriteAnswer(answer);
  }

  // Stores a document: first the chunks that the version of the last ReadRow()
  // lacks, then the manifest. Returns false if an object could not be stored.
  asio::awaitable<bool> PutDocument(put_object_action aPut)
  {
    document_objects objects = SplitDocument(aPut.mText);
    std::set<std::string> storedChunks = co_await StoredChunks();
    for (const object_map::value_type& entry : objects.mObjects) {
      if (entry.first == objects.mHash || storedChunks.count(entry.first) > 0) {
        continue;
      }
      bool stored = co_await PutObject(entry.first, *entry.second);
      if (!stored) {
        co_return false;
      }
    }
    bool stored =
      co_await PutObject(objects.mHash, *objects.mObjects.at(objects.mHash));
    co_return stored;
  }

  // Reads the objects of a document that aCached lacks. Returns false if one
  // can't be read or does not have the hash that was asked for. aAssembly must
  // outlive the call.
  asio::awaitable<bool> GetObjects(std::string aHash,
                                   document_assembly& aAssembly,
                                   object_map aCached)
  {
    std::optional<std::string> manifest = co_await GetObject(std::move(aHash));
    if (!manifest || !aAssembly.SetManifest(std::move(*manifest))) {
      co_return false;
    }
    aAssembly.Reuse(aCached);
    std::vector<std::string> missing = aAssembly.Missing();
    for (const std::string& hash : missing) {
      std::optional<std::string> chunk = co_await GetObject(hash);
      if (!chunk || !aAssembly.AddChunk(hash, std::move(*chunk))) {
        co_return false;
      }
    }
    co_return true;
  }

  // Returns the canonical text; nullopt if an object can't be read or does not
  // have the hash that was asked for.
  asio::awaitable<std::optional<std::string>> GetDocument(std::string aHash)
  {
    document_assembly assembly(aHash);
    bool complete = co_await GetObjects(std::move(aHash), assembly, {});
    if (!complete) {
      co_return std::nullopt;
    }
    co_return assembly.Text();
  }

  // Returns nullopt if the platform did not answer with a list.
  asio::awaitable<std::optional<std::vector<list_entry>>> ReadInstances(
    listed_instances aPart)
  {
    std::string target = "/v1/instances";
    if (aPart == listed_instances::Leaving) {
      target += "?state=leaving";
    }
    std::optional<client_answer> answer =
      co_await mHttp.Exchange(Request(http::verb::get, std::move(target)));
    co_return ReadListAnswer(answer);
  }

  // Puts an entry instance on the platform's list; failures are not reported.
  asio::awaitable<void> PutInstance(std::string aInstance,
                                    endpoint aAddress,
                                    std::string aState)
  {
    client_request request =
      Request(http::verb::put,
              std::string(kInstancesTarget).append(kEntryPrefix) + aInstance);
    request.mBody = InstanceBody(aAddress, aState);
    co_await mHttp.Exchange(std::move(request));
  }

  // Total size of the objects read by this client, in bytes.
  std::size_t ObjectBytes() const { return mObjectBytes; }

private:
  static constexpr std::string_view kRowTarget =
    "/v1/tables/config/rows/current";
  static constexpr std::string_view kObjectsTarget = "/v1/objects/";
  static constexpr std::string_view kInstancesTarget = "/v1/instances/";

  asio::awaitable<bool> PutObject(std::string aHash, std::string aText)
  {
    client_request request =
      Request(http::verb::put, std::string(kObjectsTarget) + aHash);
    request.mBody = std::move(aText);
    request.mTimeout = mOptions.mObjectTimeout;
    std::optional<client_answer> answer =
      co_await mHttp.Exchange(std::move(request));
    co_return answer && answer->mStatus == 200;
  }

  asio::awaitable<std::optional<std::string>> GetObject(std::string aHash)
  {
    client_request request =
      Request(http::verb::get, std::string(kObjectsTarget) + aHash);
    request.mTimeout = mOptions.mObjectTimeout;
    std::optional<client_answer> answer =
      co_await mHttp.Exchange(std::move(request));
    if (!answer || answer->mStatus != 200) {
      co_return std::nullopt;
    }
    mObjectBytes += answer->mBody.size();
    co_return std::move(answer->mBody);
  }

  // Returns the hashes of the chunks of the version that was read last.
  asio::awaitable<std::set<std::string>> StoredChunks()
  {
    std::set<std::string> storedChunks;
    if (!mLastRow) {
      co_return storedChunks;
    }
    document_assembly assembly(mLastRow->mContentHash);
    std::optional<std::string> manifest =
      co_await GetObject(mLastRow->mContentHash);
    if (manifest && assembly.SetManifest(std::move(*manifest))) {
      std::vector<std::string> chunks = assembly.Missing();
      storedChunks.insert(chunks.begin(), chunks.end());
    }
    co_return storedChunks;
  }

  client_request Request(http::verb aMethod, std::string aTarget) const
  {
    client_request request;
    request.mTo = mAddress;
    request.mMethod = aMethod;
    request.mTarget = std::move(aTarget);
    request.mTimeout = mOptions.mTimeout;
    return request;
  }

  Http& mHttp;
  endpoint mAddress;
  platform_options mOptions;
  std::optional<config_row> mLastRow;
  std::size_t mObjectBytes = 0;
};

} // namespace laburnumdyke
