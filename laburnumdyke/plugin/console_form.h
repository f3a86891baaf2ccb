// Posted forms: their encoding, the draft that travels in them, and whether a
// post comes from the console's own pages.
//
// Every page posts the whole draft: "base_version", "base_hash", "edited" once
// for each edited part, "KIND.ROW" for a row's name and "KIND.ROW.KEY" for a
// field. Instances keep nothing, so the next post may go to another one.
//
// Usage:
//   std::optional<form_fields> fields = DecodeForm(body);
//   console_post post = ReadPost(*fields);
//
// Parts and fields that don't exist are ignored. A post with more than
// kMostRows rows of a part is marked, and must be refused: its rows are not
// all read.
#pragma once

#include "laburnumdyke/decision/form_model.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kMostRows = 5000; // of one part
inline constexpr std::size_t kMostFormBytes = 8UL * 1024 * 1024;

using form_fields = std::vector<std::pair<std::string, std::string>>;

// Nothing where a "%" is not followed by two hexadecimal digits.
std::optional<form_fields>
DecodeForm(std::string_view aBody);

enum class console_action
{
  Check,  // mPage, with its faults
  Show,   // mPage
  Add,    // a row to mPage
  Remove, // mRow of mPage
  Review,
  Submit,
};

struct console_post
{
  form_draft mDraft;
  console_action mAction = console_action::Check;
  std::string mPage; // kind of the part shown
  std::size_t mRow = 0;
  std::string mSubmitter;
  std::string mChangeId;
  bool mTooManyRows = false;
};

console_post
ReadPost(const form_fields& aFields);

// Carries out Add and Remove on the draft.
void
ApplyRowAction(console_post& aPost);

// Drops the parts that stand in the base as they are in the draft.
void
DropUnedited(form_draft& aDraft, const document& aBase);

struct post_origin
{
  std::string_view mHost;
  std::string_view mOrigin;  // empty: none was sent
  std::string_view mReferer; // empty: none was sent
};

// The origin, else the referring page, must be on the host that was asked for,
// and that host must be an IP address or localhost, so that no other name can
// be made to resolve to this address.
bool
IsSameOrigin(const post_origin& aOrigin);

} // namespace laburnumdyke
