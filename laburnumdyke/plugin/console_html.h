// Renders the console's pages as HTML without scripts. Text from documents,
// peers and forms is escaped.
//
// Usage:
//   std::string page = RenderPartPage(view);
//
// Each page but the overview is one form that posts to /console/draft and
// carries the draft: the part shown as visible fields, other edited parts as
// hidden ones.
#pragma once

#include "laburnumdyke/decision/submission.h"
#include "laburnumdyke/plugin/console_form.h"
#include "laburnumdyke/plugin/console_status.h"

#include <string>
#include <string_view>

namespace laburnumdyke {

// With more address blocks than this, the part is not offered as a form.
inline constexpr std::size_t kMaxShownBlocks = 20000;

// Input of the pages that show a draft.
struct draft_view
{
  const console_post& mPost;
  const document& mBase;
  const std::vector<form_fault>& mFaults;
};

std::string
RenderOverview(const status_view& aStatus);

std::string
RenderPartPage(const draft_view& aView);

// The difference from the base document, or every fault with its part, row and
// field.
std::string
RenderReview(const draft_view& aView,
             const std::vector<document_change>& aChanges);

// The result of a submission. After Unavailable and Unknown the page offers to
// submit again under the same change id, so the change is applied at most once.
std::string
RenderOutcome(const draft_view& aView, const submission_outcome& aOutcome);

std::string
RenderMessage(std::string_view aTitle, std::string_view aText);

std::string_view
ConsoleStyle();

} // namespace laburnumdyke
