// What the commands print: for people by default, or JSON.
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

// Any JSON: one "key: value" line for each field, a table for each array of
// objects. Control characters are left out.
void
ReportJson(std::ostream& aOut,
           const ctl_options& aOptions,
           const boost::json::value& aValue);

exit_status
StatusOf(submission_kind aKind);

} // namespace laburnumdyke
