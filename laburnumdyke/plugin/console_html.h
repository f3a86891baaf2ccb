// The console's pages as HTML, without scripts. Everything that is not written
// here is escaped.
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

// Rows of blocks are not shown as fields over this size.
inline constexpr std::size_t kMostShownBlocks = 20000;

// What the pages of one draft share.
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

// The difference from the base, or every fault with the page it is on.
std::string
RenderReview(const draft_view& aView,
             const std::vector<document_change>& aChanges);

// aChangeId of the submission; posting the page again asks for the same one.
std::string
RenderOutcome(const draft_view& aView, const submission_outcome& aOutcome);

std::string
RenderMessage(std::string_view aTitle, std::string_view aText);

std::string_view
ConsoleStyle();

} // namespace laburnumdyke
