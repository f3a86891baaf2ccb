// Decodes posted forms and the draft in them, and checks the origin of a POST.
//
// Every page posts the whole draft: "base_version", "base_hash", "edited" once
// for each edited part, "KIND.ROW" for a row's name and "KIND.ROW.KEY" for a
// field. Instances keep no session state, so the next POST may go to another
// one.
//
// Usage:
//   std::optional<form_fields> fields = DecodeForm(body);
//   console_post post = ReadPost(*fields);
//
// Unknown parts and fields are ignored. Rows from kMaxRows on are not read;
// mTooManyRows is set then, and the caller must refuse the POST.
#pragma once

#include "laburnumdyke/decision/form_model.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumdyke {

inline constexpr std::size_t kMaxRows = 5000; // per part
inline constexpr std::size_t kMaxFormBytes = 8UL * 1024 * 1024;

using form_fields = std::vector<std::pair<std::string, std::string>>;

// Decodes application/x-www-form-urlencoded text. Nothing if a "%" is not
// followed by two hexadecimal digits.
std::optional<form_fields>
DecodeForm(std::string_view aBody);

enum class console_action
{
  Check,  // show mPage with its faults
  Show,   // show mPage
  Add,    // append a row to mPage
  Remove, // remove row mRow of mPage
  Review,
  Submit,
};

struct console_post
{
  form_draft mDraft;
  console_action mAction = console_action::Check;
  std::string mPage; // kind of the part to show
  std::size_t mRow = 0;
  std::string mSubmitter;
  std::string mChangeId;
  bool mTooManyRows = false;
};

console_post
ReadPost(const form_fields& aFields);

// Applies console_action::Add or Remove to the draft; does nothing for other
// actions, for parts with fixed rows and for parts that are not in the draft.
void
ApplyRowAction(console_post& aPost);

// Removes the parts that are equal to the base document from the draft.
void
RemoveUnchangedParts(form_draft& aDraft, const document& aBase);

struct post_origin
{
  std::string_view mHost;
  std::string_view mOrigin;  // empty: header absent
  std::string_view mReferer; // empty: header absent
};

// Returns whether the Origin header, or Referer if there is no Origin, matches
// the Host header. The host must be an IP address or localhost, which prevents
// DNS rebinding.
bool
IsSameOrigin(const post_origin& aOrigin);

} // namespace laburnumdyke
