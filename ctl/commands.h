// The commands of laburnumctl, with the HTTP client and the clock as template
// parameters so that tests can replace both.
//
// Usage:
//   commands<asio_http, asio_clock> run(options, http, clock, out, err);
//   return static_cast<int>(run.Run());
//
// Results go to aOut; usage and network errors go to aErrors. Run() returns the
// exit status of the process.
#pragma once

#include "ctl/explain.h"
#include "ctl/report.h"
#include "ctl/route_query.h"
#include "ctl/run_to_completion.h"
#include "laburnumdyke/plugin/submission_driver.h"
#include "platform/config_codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <optional>
#include <ostream>
#include <string>

namespace laburnumdyke {

template<http_exchanger Http, submission_clock Clock>
class commands
{
public:
  commands(ctl_options aOptions,
           Http& aHttp,
           Clock& aClock,
           std::ostream& aOut,
           std::ostream& aErrors)
    : mOptions(std::move(aOptions))
    , mHttp(aHttp)
    , mClock(aClock)
    , mOut(aOut)
    , mErrors(aErrors)
  {
  }

  exit_status Run()
  {
    switch (mOptions.mCommand) {
      case command_kind::Check:
        return Check();
      case command_kind::Submit:
        return Submit();
      case command_kind::Show:
        return Show();
      case command_kind::History:
        return History();
      case command_kind::Status:
        return Query(*mOptions.mOperator, "/v1/status");
      case command_kind::Lookup:
        return Query(*mOptions.mCaller,
                     "/v1/lookup?service=" + mOptions.mService +
                       "&client=" + mOptions.mClient);
      case command_kind::Explain:
        return Explain();
      case command_kind::Route:
        return Route();
      case command_kind::Help:
      case command_kind::Version:
        break;
    }
    mOut << HelpText();
    return exit_status::Ok;
  }

private:
  static constexpr std::size_t kRouteAnswerLimit = 1024UL * 1024; // bytes
  static constexpr std::size_t kReadSize = 64UL * 1024;           // bytes
  // Long, because an operator may be on a slow link.
  static constexpr std::chrono::milliseconds kObjectTimeout{ 20000 };

  platform_client<Http> Platform()
  {
    platform_options options;
    options.mObjectTimeout = kObjectTimeout;
    return platform_client<Http>(mHttp, *mOptions.mPlatform, options);
  }

  exit_status Check()
  {
    std::optional<std::string> text = ReadFile();
    if (!text) {
      return exit_status::Usage;
    }
    if (IsJson(*text)) {
      return CheckConfig(*text);
    }
    document_result result = ParseDocument(*text);
    if (!result.mDocument) {
      ReportFaults(mOut, mOptions, result.mFaults);
      return exit_status::Refused;
    }
    boost::json::object summary;
    summary["outcome"] = "valid";
    summary["hash"] = DocumentHash(RenderDocument(*result.mDocument));
    ReportJson(mOut, mOptions, summary);
    return exit_status::Ok;
  }

  // Whether a file has a configuration of the front "hosts"; documents are INI.
  static bool IsJson(const std::string& aText)
  {
    std::size_t first = aText.find_first_not_of(" \t\r\n");
    return first != std::string::npos && aText[first] == '{';
  }

  exit_status CheckConfig(const std::string& aText)
  {
    config_result result = ReadConfig(aText);
    if (!result.mDocument) {
      ReportFaults(mOut, mOptions, result.mFaults);
      return exit_status::Refused;
    }
    const routing_document& document = *result.mDocument;
    boost::json::object summary;
    summary["outcome"] = "valid";
    summary["version"] = document.mVersion;
    summary["routes"] = document.mRoutes.size();
    summary["services"] = document.mServices.size();
    if (document.mCustomers) {
      summary["customers"] = document.mCustomers->size();
    }
    ReportJson(mOut, mOptions, summary);
    return exit_status::Ok;
  }

  exit_status Explain()
  {
    request_trace_builder builder(mOptions.mRequest);
    for (const std::string& name : mOptions.mFiles) {
      std::ifstream file(name, std::ios::binary);
      if (!file) {
        mErrors << "laburnumctl: " << name << ": can't be read\n";
        return exit_status::Usage;
      }
      builder.Read(file);
    }
    if (mOptions.mFiles.empty()) {
      builder.Read(std::cin);
    }
    request_trace trace = builder.Build();
    ReportTrace(mOut, mOptions, trace);
    return trace.mSteps.empty() ? exit_status::Refused : exit_status::Ok;
  }

  exit_status Submit()
  {
    std::optional<std::string> text = ReadFile();
    if (!text) {
      return exit_status::Usage;
    }
    submission_request request;
    request.mText = std::move(*text);
    request.mChangeId = mOptions.mChangeId;
    request.mSubmitter = mOptions.mSubmitter;
    request.mBase = mOptions.mBase;
    platform_client<Http> platform = Platform();
    submission_outcome outcome =
      RunToCompletion(RunSubmission(std::move(request), platform, mClock));
    ReportOutcome(mOut, mOptions, outcome);
    return StatusOf(outcome.mKind);
  }

  exit_status Show()
  {
    platform_client<Http> platform = Platform();
    std::optional<config_row> row = ReadCurrentRow(platform);
    if (!row) {
      return exit_status::Unavailable;
    }
    std::optional<std::string> text =
      RunToCompletion(platform.GetDocument(row->mContentHash));
    if (!text) {
      mErrors << "laburnumctl: the document of version " << row->mVersion
              << " can't be read\n";
      return exit_status::Unavailable;
    }
    if (mOptions.mJson) {
      boost::json::object json;
      json["version"] = row->mVersion;
      json["hash"] = row->mContentHash;
      json["change_id"] = row->mChangeId;
      json["submitter"] = row->mSubmitter;
      json["document"] = *text;
      mOut << boost::json::serialize(json) << "\n";
    } else {
      mOut << "; version " << row->mVersion << " by " << row->mSubmitter
           << ", hash " << row->mContentHash << "\n"
           << *text;
    }
    return exit_status::Ok;
  }

  exit_status History()
  {
    platform_client<Http> platform = Platform();
    std::optional<config_row> row = ReadCurrentRow(platform);
    if (!row) {
      return exit_status::Unavailable;
    }
    ReportHistory(mOut, mOptions, *row);
    return exit_status::Ok;
  }

  exit_status Query(const endpoint& aAddress, std::string aTarget)
  {
    client_request request;
    request.mTo = aAddress;
    request.mTarget = std::move(aTarget);
    std::optional<client_answer> answer =
      RunToCompletion(mHttp.Exchange(std::move(request)));
    boost::system::error_code failure;
    boost::json::value parsed;
    if (answer) {
      parsed = boost::json::parse(answer->mBody, failure);
    }
    if (!answer || failure) {
      mErrors << "laburnumctl: no answer from " << aAddress.Text() << "\n";
      return exit_status::Unavailable;
    }
    ReportJson(mOut, mOptions, parsed);
    if (answer->mStatus == 200) {
      return exit_status::Ok;
    }
    return answer->mStatus < 500 ? exit_status::Refused
                                 : exit_status::Unavailable;
  }

  // Asks each instance in turn. The status is the worst one.
  exit_status Route()
  {
    std::string key;
    if (!mOptions.mKeyFile.empty()) {
      key_result read = ReadKeyFile(mOptions.mKeyFile);
      if (!read.mKey) {
        mErrors << "laburnumctl: " << mOptions.mKeyFile << ": " << read.mReason
                << "\n";
        return exit_status::Usage;
      }
      key = std::move(*read.mKey);
    }
    exit_status worst = exit_status::Ok;
    std::vector<instance_answer> answers;
    for (const endpoint& address : mOptions.mOperators) {
      answers.push_back(AskRoute(address, key));
      worst = std::max(worst, RouteStatus(answers.back().mStatus));
    }
    ReportRoutes(mOut, mOptions, answers);
    return worst;
  }

  instance_answer AskRoute(const endpoint& aAddress, const std::string& aKey)
  {
    client_request request;
    request.mTo = aAddress;
    request.mTarget = RouteTarget(mOptions);
    request.mLimit = kRouteAnswerLimit;
    if (!aKey.empty()) {
      request.mHeaders.emplace_back(kExplainKeyHeader, aKey);
    }
    std::optional<client_answer> answer =
      RunToCompletion(mHttp.Exchange(std::move(request)));
    instance_answer parsed{ aAddress, 0, nullptr };
    boost::system::error_code failure;
    if (answer) {
      parsed.mBody = boost::json::parse(answer->mBody, failure);
    }
    if (answer && !failure && parsed.mBody.is_object()) {
      parsed.mStatus = answer->mStatus;
    } else {
      parsed.mBody = nullptr;
    }
    return parsed;
  }

  std::optional<config_row> ReadCurrentRow(platform_client<Http>& aPlatform)
  {
    row_answer answer = RunToCompletion(aPlatform.ReadRow());
    std::optional<row_snapshot> reading = answer.Snapshot();
    if (!reading) {
      mErrors << "laburnumctl: no answer from the platform\n";
      return std::nullopt;
    }
    std::optional<config_row> row = DecodeConfigRow(reading->mValue);
    if (!row) {
      mErrors << (reading->mRevision == 0
                    ? "laburnumctl: no document has been submitted yet\n"
                    : "laburnumctl: the platform's row is malformed\n");
    }
    return row;
  }

  std::optional<std::string> ReadFile()
  {
    std::ifstream file(mOptions.mFile, std::ios::binary);
    std::string text;
    std::array<char, kReadSize> buffer;
    do {
      file.read(buffer.data(), buffer.size());
      text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
    } while (file);
    if (file.bad() || !file.eof()) {
      mErrors << "laburnumctl: " << mOptions.mFile << ": can't be read\n";
      return std::nullopt;
    }
    return text;
  }

  ctl_options mOptions;
  Http& mHttp;
  Clock& mClock;
  std::ostream& mOut;
  std::ostream& mErrors;
};

} // namespace laburnumdyke
