// Columns of a table appear in the order in which the rows first have them, and
// are padded to their widest cell.
#include "ctl/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>

namespace laburnumdyke {

namespace {

using text_table = std::vector<std::vector<std::string>>; // first row: headings

std::string
CellText(const boost::json::value& aValue)
{
  if (aValue.is_double()) {
    // Shorter than JSON, which has exponents.
    std::array<char, 32> number{};
    std::snprintf(number.data(), number.size(), "%.10g", aValue.get_double());
    return number.data();
  }
  std::string text = aValue.is_string()
                       ? std::string(aValue.get_string().c_str())
                       : boost::json::serialize(aValue);
  std::erase_if(text, [](char aByte) {
    return static_cast<unsigned char>(aByte) < ' ' || aByte == '\x7f';
  });
  return text;
}

void
PrintTable(std::ostream& aOut, const text_table& aTable)
{
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : aTable) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const std::vector<std::string>& row : aTable) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    aOut << line.substr(0, line.find_last_not_of(' ') + 1) << "\n";
  }
}

bool
IsTable(const boost::json::value& aValue)
{
  if (!aValue.is_array() || aValue.get_array().empty()) {
    return false;
  }
  const boost::json::array& rows = aValue.get_array();
  return std::all_of(
    rows.begin(), rows.end(), [](const boost::json::value& aRow) {
      return aRow.is_object();
    });
}

text_table
ToTable(const boost::json::array& aRows)
{
  text_table table(1);
  std::vector<std::string>& headings = table[0];
  for (const boost::json::value& row : aRows) {
    for (const boost::json::key_value_pair& field : row.get_object()) {
      std::string key = CellText(boost::json::value(field.key()));
      if (std::find(headings.begin(), headings.end(), key) == headings.end()) {
        headings.push_back(key);
      }
    }
  }
  const std::vector<std::string> columns = headings;
  for (const boost::json::value& row : aRows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      const boost::json::value* cell = row.get_object().if_contains(column);
      cells.push_back(cell == nullptr ? "-" : CellText(*cell));
    }
    table.push_back(std::move(cells));
  }
  return table;
}

boost::json::object
VersionJson(const config_version& aVersion)
{
  boost::json::object json;
  json["version"] = aVersion.mVersion;
  json["hash"] = aVersion.mContentHash;
  json["change_id"] = aVersion.mChangeId;
  json["submitter"] = aVersion.mSubmitter;
  return json;
}

boost::json::array
ChangesJson(const std::vector<document_change>& aChanges)
{
  boost::json::array json;
  for (const document_change& change : aChanges) {
    boost::json::object row;
    row["section"] = change.mSection;
    row["field"] = change.mField;
    row["before"] = change.mBefore ? boost::json::value(*change.mBefore)
                                   : boost::json::value();
    row["after"] =
      change.mAfter ? boost::json::value(*change.mAfter) : boost::json::value();
    json.push_back(std::move(row));
  }
  return json;
}

boost::json::object
OutcomeJson(const ctl_options& aOptions, const submission_outcome& aOutcome)
{
  boost::json::object json;
  json["outcome"] = ToString(aOutcome.mKind);
  json["version"] = aOutcome.mVersion;
  json["change_id"] = aOptions.mChangeId;
  json["reason"] = aOutcome.mReason;
  json["faults"] = FaultsJson(aOutcome.mFaults);
  if (aOutcome.mChanges) {
    json["difference"] = ChangesJson(*aOutcome.mChanges);
  }
  return json;
}

boost::json::object
AnswerJson(const instance_answer& aAnswer)
{
  boost::json::object json;
  json["operator"] = aAnswer.mAddress.Text();
  json["status"] = aAnswer.mStatus;
  json["answer"] = aAnswer.mBody;
  return json;
}

// The line of an instance, with the fields that are compared first.
boost::json::object
SummaryJson(const instance_answer& aAnswer)
{
  boost::json::object json;
  json["operator"] = aAnswer.mAddress.Text();
  if (!aAnswer.mBody.is_object()) {
    json["error"] = "no answer";
    return json;
  }
  for (const char* field :
       { "instance", "version", "outcome", "upstream", "reason", "error" }) {
    const boost::json::value* value =
      aAnswer.mBody.get_object().if_contains(field);
    if (value != nullptr) {
      json[field] = *value;
    }
  }
  return json;
}

} // namespace

boost::json::array
FaultsJson(const std::vector<text_fault>& aFaults)
{
  boost::json::array json;
  for (const text_fault& fault : aFaults) {
    boost::json::object row;
    row["line"] = fault.mLine;
    row["field"] = fault.mField;
    row["expected"] = fault.mExpected;
    json.push_back(std::move(row));
  }
  return json;
}

void
ReportFaults(std::ostream& aOut,
             const ctl_options& aOptions,
             const std::vector<text_fault>& aFaults)
{
  if (aOptions.mJson) {
    boost::json::object json;
    json["faults"] = FaultsJson(aFaults);
    aOut << boost::json::serialize(json) << "\n";
    return;
  }
  for (const text_fault& fault : aFaults) {
    aOut << fault.Describe(aOptions.mFile) << "\n";
  }
}

void
ReportOutcome(std::ostream& aOut,
              const ctl_options& aOptions,
              const submission_outcome& aOutcome)
{
  if (aOptions.mJson) {
    aOut << boost::json::serialize(OutcomeJson(aOptions, aOutcome)) << "\n";
    return;
  }
  aOut << ToString(aOutcome.mKind);
  if (aOutcome.mVersion > 0) {
    aOut << ": version " << aOutcome.mVersion;
  }
  if (!aOutcome.mReason.empty()) {
    aOut << ": " << aOutcome.mReason;
  }
  aOut << "\nchange id: " << aOptions.mChangeId << "\n";
  ReportFaults(aOut, aOptions, aOutcome.mFaults);
  if (aOutcome.mChanges) {
    aOut << "difference, from the version in force to the file:\n"
         << RenderDifference(*aOutcome.mChanges);
  }
}

void
ReportHistory(std::ostream& aOut,
              const ctl_options& aOptions,
              const config_row& aRow)
{
  boost::json::array versions;
  versions.push_back(VersionJson(aRow));
  for (const config_version& version : aRow.mPrevious) {
    versions.push_back(VersionJson(version));
  }
  if (aOptions.mJson) {
    aOut << boost::json::serialize(versions) << "\n";
  } else {
    PrintTable(aOut, ToTable(versions));
  }
}

void
ReportJson(std::ostream& aOut,
           const ctl_options& aOptions,
           const boost::json::value& aValue)
{
  if (aOptions.mJson || !aValue.is_object()) {
    aOut << boost::json::serialize(aValue) << "\n";
    return;
  }
  text_table fields;
  for (const boost::json::key_value_pair& field : aValue.get_object()) {
    if (!IsTable(field.value())) {
      fields.push_back({ CellText(boost::json::value(field.key())) + ":",
                         CellText(field.value()) });
    }
  }
  PrintTable(aOut, fields);
  for (const boost::json::key_value_pair& field : aValue.get_object()) {
    if (IsTable(field.value())) {
      aOut << "\n" << CellText(boost::json::value(field.key())) << ":\n";
      PrintTable(aOut, ToTable(field.value().get_array()));
    }
  }
}

void
ReportRoutes(std::ostream& aOut,
             const ctl_options& aOptions,
             const std::vector<instance_answer>& aAnswers)
{
  boost::json::array answers;
  boost::json::array summary;
  for (const instance_answer& answer : aAnswers) {
    answers.push_back(AnswerJson(answer));
    summary.push_back(SummaryJson(answer));
  }
  if (aOptions.mJson) {
    aOut << boost::json::serialize(answers) << "\n";
    return;
  }
  PrintTable(aOut, ToTable(summary));
  for (const instance_answer& answer : aAnswers) {
    if (answer.mStatus == 200) {
      aOut << "\n--- " << answer.mAddress.Text() << "\n";
      ReportJson(aOut, aOptions, answer.mBody);
    }
  }
}

exit_status
StatusOf(submission_kind aKind)
{
  switch (aKind) {
    case submission_kind::Accepted:
    case submission_kind::Unchanged:
      return exit_status::Ok;
    case submission_kind::Conflict:
    case submission_kind::Refused:
      return exit_status::Refused;
    case submission_kind::Unavailable:
    case submission_kind::Unknown:
      break;
  }
  return exit_status::Unavailable;
}

} // namespace laburnumdyke
