// Output of the commands: text by default, JSON with --json.
#pragma once

#include "ctl/options.h"
#include "laburnumdyke/decision/submission.h"

#include <boost/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace laburnumdyke {

boost::json::array
FaultsJson(const std::vector<text_fault>& aFaults);

void
ReportFaults(std::ostream& aOut,
             const ctl_options& aOptions,
             const std::vector<text_fault>& aFaults);

void
ReportOutcome(std::ostream& aOut,
              const ctl_options& aOptions,
              const submission_outcome& aOutcome);

void
ReportHistory(std::ostream& aOut,
              const ctl_options& aOptions,
              const config_row& aRow);

// Prints any JSON value. As text, an object gives one "key: value" line for
// each field and one table for each array of objects, without control
// characters.
void
ReportJson(std::ostream& aOut,
           const ctl_options& aOptions,
           const boost::json::value& aValue);

// The answers of instances to one question; null: no answer.
struct instance_answer
{
  endpoint mAddress;
  unsigned mStatus = 0;
  boost::json::value mBody;
};

// Prints one line for each instance, then what each one explains.
void
ReportRoutes(std::ostream& aOut,
             const ctl_options& aOptions,
             const std::vector<instance_answer>& aAnswers);

exit_status
StatusOf(submission_kind aKind);

} // namespace laburnumdyke
