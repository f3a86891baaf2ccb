// Names of fields are split at dots; kinds and keys hold none. Only names that
// the parts of the document have are read.
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

// Cuts aText at the first aSeparator and returns what is before it.
std::string_view
CutAt(std::string_view& aText, char aSeparator)
{
  std::size_t end = std::min(aText.find(aSeparator), aText.size());
  std::string_view first = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return first;
}

// "KIND.ROW" or "KIND.ROW.KEY".
void
TakeRowField(console_post& aPost, std::string_view aName, std::string aValue)
{
  std::string_view rest = aName;
  std::string_view kind = CutAt(rest, '.');
  std::optional<std::size_t> number = ReadNumber<std::size_t>(CutAt(rest, '.'));
  const form_part* part = FindPart(kind);
  auto edited = aPost.mDraft.mParts.find(kind);
  if (part == nullptr || edited == aPost.mDraft.mParts.end() || !number) {
    return;
  }
  if (*number >= kMostRows) {
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

// "check", "show:KIND", "add:KIND", "remove:KIND:ROW", "review" or "submit".
void
TakeAction(console_post& aPost, std::string_view aValue)
{
  std::string_view rest = aValue;
  std::string_view verb = CutAt(rest, ':');
  std::string_view kind = CutAt(rest, ':');
  if (FindPart(kind) != nullptr) {
    aPost.mPage = kind;
  }
  if (verb == "show") {
    aPost.mAction = console_action::Show;
  } else if (verb == "add") {
    aPost.mAction = console_action::Add;
  } else if (verb == "remove") {
    aPost.mAction = console_action::Remove;
    aPost.mRow = ReadNumber<std::size_t>(rest).value_or(kMostRows);
  } else if (verb == "review") {
    aPost.mAction = console_action::Review;
  } else if (verb == "submit") {
    aPost.mAction = console_action::Submit;
  }
}

} // namespace

std::optional<form_fields>
DecodeForm(std::string_view aBody)
{
  form_fields fields;
  while (!aBody.empty()) {
    std::string_view value = CutAt(aBody, '&');
    std::string_view name = CutAt(value, '=');
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
      TakeRowField(post, field.first, field.second);
    }
  }
  for (const field_entry& field : aFields) {
    if (field.first == "action") {
      TakeAction(post, field.second);
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
  if (aPost.mAction == console_action::Add && rows.size() < kMostRows) {
    rows.push_back({ "", std::vector<std::string>(part.mFields.size()) });
  }
  if (aPost.mAction == console_action::Remove && aPost.mRow < rows.size()) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(aPost.mRow));
  }
}

void
DropUnedited(form_draft& aDraft, const document& aBase)
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
