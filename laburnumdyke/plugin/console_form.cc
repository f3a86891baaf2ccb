// Field names are split at dots, which neither kinds nor keys contain. Names of
// unknown parts and fields are ignored.
#include "laburnumdyke/plugin/console_form.h"

#include "laburnumdyke/kernel/endpoint.h"
#include "laburnumdyke/kernel/number.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

std::optional<std::string>
DecodeText(std::string_view aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      out.push_back(aText[i] == '+' ? ' ' : aText[i]);
      continue;
    }
    std::string_view digits = aText.substr(i + 1, 2);
    std::optional<unsigned> byte = ReadNumber<unsigned>(digits, 16);
    if (digits.size() != 2 || !byte) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(*byte));
    i += 2;
  }
  return out;
}

// Removes the text up to and including the first aSeparator from aText and
// returns it without the separator; all of aText if there is none.
std::string_view
ConsumeUntil(std::string_view& aText, char aSeparator)
{
  std::size_t end = std::min(aText.find(aSeparator), aText.size());
  std::string_view first = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return first;
}

// Stores the value of a field named "KIND.ROW" or "KIND.ROW.KEY" in the draft.
void
ReadRowField(console_post& aPost, std::string_view aName, std::string aValue)
{
  std::string_view rest = aName;
  std::string_view kind = ConsumeUntil(rest, '.');
  std::optional<std::size_t> number =
    ReadNumber<std::size_t>(ConsumeUntil(rest, '.'));
  const form_part* part = FindPart(kind);
  auto edited = aPost.mDraft.mParts.find(kind);
  if (part == nullptr || edited == aPost.mDraft.mParts.end() || !number) {
    return;
  }
  if (*number >= kMaxRows) {
    aPost.mTooManyRows = true;
    return;
  }
  form_rows& rows = edited->second;
  while (rows.size() <= *number) {
    rows.push_back({ "", std::vector<std::string>(part->mFields.size()) });
  }
  std::erase(aValue, '\r');
  form_row& row = rows[*number];
  if (rest.empty()) {
    row.mName = std::move(aValue);
    return;
  }
  for (std::size_t i = 0; i < part->mFields.size(); ++i) {
    if (part->mFields[i].mKey == rest) {
      row.mValues[i] = std::move(aValue);
      return;
    }
  }
}

// Reads an action: "check", "show:KIND", "add:KIND", "remove:KIND:ROW",
// "review" or "submit".
void
ReadAction(console_post& aPost, std::string_view aValue)
{
  std::string_view rest = aValue;
  std::string_view actionName = ConsumeUntil(rest, ':');
  std::string_view kind = ConsumeUntil(rest, ':');
  if (FindPart(kind) != nullptr) {
    aPost.mPage = kind;
  }
  if (actionName == "show") {
    aPost.mAction = console_action::Show;
  } else if (actionName == "add") {
    aPost.mAction = console_action::Add;
  } else if (actionName == "remove") {
    aPost.mAction = console_action::Remove;
    aPost.mRow = ReadNumber<std::size_t>(rest).value_or(kMaxRows);
  } else if (actionName == "review") {
    aPost.mAction = console_action::Review;
  } else if (actionName == "submit") {
    aPost.mAction = console_action::Submit;
  }
}

} // namespace

std::optional<form_fields>
DecodeForm(std::string_view aBody)
{
  form_fields fields;
  while (!aBody.empty()) {
    std::string_view value = ConsumeUntil(aBody, '&');
    std::string_view name = ConsumeUntil(value, '=');
    std::optional<std::string> nameText = DecodeText(name);
    std::optional<std::string> valueText = DecodeText(value);
    if (!nameText || !valueText) {
      return std::nullopt;
    }
    fields.emplace_back(std::move(*nameText), std::move(*valueText));
  }
  return fields;
}

console_post
ReadPost(const form_fields& aFields)
{
  using field_entry = form_fields::value_type;
  console_post post;
  post.mPage = FormParts().front().mKind;
  for (const field_entry& field : aFields) {
    if (field.first == "edited" && FindPart(field.second) != nullptr) {
      post.mDraft.mParts[field.second];
    }
  }
  for (const field_entry& field : aFields) {
    if (field.first == "page" && FindPart(field.second) != nullptr) {
      post.mPage = field.second;
    } else if (field.first == "base_version") {
      post.mDraft.mBaseVersion =
        ReadNumber<std::uint64_t>(field.second).value_or(0);
    } else if (field.first == "base_hash") {
      post.mDraft.mBaseHash = field.second;
    } else if (field.first == "submitter") {
      post.mSubmitter = field.second;
    } else if (field.first == "change_id") {
      post.mChangeId = field.second;
    } else if (field.first.find('.') != std::string::npos) {
      ReadRowField(post, field.first, field.second);
    }
  }
  for (const field_entry& field : aFields) {
    if (field.first == "action") {
      ReadAction(post, field.second);
    }
  }
  return post;
}

void
ApplyRowAction(console_post& aPost)
{
  const form_part& part = *FindPart(aPost.mPage);
  auto edited = aPost.mDraft.mParts.find(part.mKind);
  if (part.mFixedRows || edited == aPost.mDraft.mParts.end()) {
    return;
  }
  form_rows& rows = edited->second;
  if (aPost.mAction == console_action::Add && rows.size() < kMaxRows) {
    rows.push_back({ "", std::vector<std::string>(part.mFields.size()) });
  }
  if (aPost.mAction == console_action::Remove && aPost.mRow < rows.size()) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(aPost.mRow));
  }
}

void
RemoveUnchangedParts(form_draft& aDraft, const document& aBase)
{
  for (const form_part& part : FormParts()) {
    auto edited = aDraft.mParts.find(part.mKind);
    if (edited != aDraft.mParts.end() &&
        edited->second == RowsOf(part, aBase)) {
      aDraft.mParts.erase(edited);
    }
  }
}

bool
IsSameOrigin(const post_origin& aOrigin)
{
  std::string host(aOrigin.mHost);
  bool isLocal = host == "localhost" || host.compare(0, 10, "localhost:") == 0;
  bool isAddress = ParseEndpoint(host) || ParseEndpoint(host + ":80");
  if (!isLocal && !isAddress) {
    return false;
  }
  std::string own = "http://" + host;
  if (!aOrigin.mOrigin.empty()) {
    return aOrigin.mOrigin == own;
  }
  return aOrigin.mReferer == own ||
         aOrigin.mReferer.substr(0, own.size() + 1) == own + "/";
}

} // namespace laburnumdyke
