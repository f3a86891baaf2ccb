// The console is stateless: each POST carries the whole draft in form fields,
// so any instance can handle the next request. Hidden fields were preferred to
// an object in the platform's store because editing continues while the
// platform is down and an abandoned draft leaves nothing to clean up. Parts
// that were not edited are omitted and read from the base document, which is
// identified by its hash.
#include "laburnumdyke/plugin/console.h"

#include <algorithm>

namespace laburnumdyke {

namespace {

constexpr std::string_view kRoot = "/console";
constexpr std::string_view kEdit = "/console/edit/";
constexpr std::chrono::milliseconds kSubmitTimeout{ 8000 };

string_answer
Page(http::status aStatus, std::string aHtml)
{
  string_answer answer(aStatus, 11);
  answer.set(http::field::content_type, "text/html; charset=utf-8");
  answer.body() = std::move(aHtml);
  return answer;
}

void
SetSecurityHeaders(string_answer& aAnswer)
{
  aAnswer.set("Content-Security-Policy",
              "default-src 'none'; style-src 'self'; form-action 'self'; "
              "frame-ancestors 'none'; base-uri 'none'");
  aAnswer.set("X-Content-Type-Options", "nosniff");
  aAnswer.set("Referrer-Policy", "same-origin");
  aAnswer.set(http::field::cache_control, "no-store");
}

http::status
StatusOf(submission_kind aKind)
{
  switch (aKind) {
    case submission_kind::Accepted:
    case submission_kind::Unchanged:
      return http::status::ok;
    case submission_kind::Conflict:
      return http::status::conflict;
    case submission_kind::Refused:
      return http::status::unprocessable_entity;
    case submission_kind::Unavailable:
    case submission_kind::Unknown:
      break;
  }
  return http::status::service_unavailable;
}

std::string_view
HeaderValue(const http_exchange& aExchange, http::field aField)
{
  return FromBeast(aExchange.Head()[aField]);
}

} // namespace

console::console(kernel& aKernel)
  : mKernel(aKernel)
  , mTables(aKernel)
{
}

bool
console::IsPath(std::string_view aTarget)
{
  return aTarget == kRoot ||
         aTarget.substr(0, kRoot.size() + 1) == std::string(kRoot) + "/";
}

asio::awaitable<void>
console::Handle(http_exchange& aExchange)
{
  string_answer answer;
  if (aExchange.Head().method() == http::verb::post) {
    answer = co_await Post(aExchange);
  } else if (aExchange.Head().method() == http::verb::get ||
             aExchange.Head().method() == http::verb::head) {
    answer = Get(FromBeast(aExchange.Head().target()));
  } else {
    answer = Refuse(http::status::method_not_allowed, "method");
  }
  SetSecurityHeaders(answer);
  co_await WriteAnswer(aExchange, std::move(answer));
}

string_answer
console::Get(std::string_view aTarget)
{
  if (aTarget == kRoot || aTarget == "/console/") {
    status_view status =
      CollectStatus(mKernel, mTables, std::chrono::steady_clock::now());
    return Page(http::status::ok, RenderOverview(status));
  }
  if (aTarget == "/console/style.css") {
    string_answer answer(http::status::ok, 11);
    answer.set(http::field::content_type, "text/css; charset=utf-8");
    answer.body() = ConsoleStyle();
    return answer;
  }
  if (aTarget.substr(0, kEdit.size()) == kEdit) {
    return StartDraft(aTarget.substr(kEdit.size()));
  }
  return Page(http::status::not_found,
              RenderMessage("No such page", "The console has no such page."));
}

string_answer
console::StartDraft(std::string_view aKind)
{
  if (FindPart(aKind) == nullptr) {
    return Page(
      http::status::not_found,
      RenderMessage("No such page", "The document has no such part."));
  }
  console_post post;
  post.mPage = aKind;
  std::shared_ptr<const document> base;
  mTables.DocumentState().With([&](document_state& aState) {
    post.mDraft.mBaseVersion = aState.Version();
    post.mDraft.mBaseHash = aState.ContentHash();
    base = aState.Document();
  });
  const document empty;
  const std::vector<form_fault> none;
  return Page(http::status::ok,
              RenderPartPage({ post, base ? *base : empty, none }));
}

string_answer
console::Refuse(http::status aStatus, std::string_view aReason)
{
  mKernel.Counters().Add("console_refused_total", aReason);
  return Page(
    aStatus,
    RenderMessage("Refused",
                  "The request is refused: " + std::string(aReason) + "."));
}

asio::awaitable<string_answer>
console::Post(http_exchange& aExchange)
{
  post_origin origin{ HeaderValue(aExchange, http::field::host),
                      HeaderValue(aExchange, http::field::origin),
                      HeaderValue(aExchange, http::field::referer) };
  if (!IsSameOrigin(origin)) {
    co_return Refuse(http::status::forbidden, "cross_origin");
  }
  if (FromBeast(aExchange.Head().target()) != "/console/draft") {
    co_return Refuse(http::status::not_found, "no_such_form");
  }
  std::optional<std::string> body = co_await ReadBody(aExchange, kMaxFormBytes);
  if (!body) {
    aExchange.mKeepAlive = false;
    co_return Refuse(http::status::payload_too_large, "form_too_large");
  }
  std::optional<form_fields> fields = DecodeForm(*body);
  if (!fields) {
    co_return Refuse(http::status::bad_request, "malformed_form");
  }
  console_post post = ReadPost(*fields);
  if (post.mTooManyRows) {
    co_return Refuse(http::status::payload_too_large, "too_many_rows");
  }
  co_return co_await HandleDraft(std::move(post));
}

asio::awaitable<std::shared_ptr<const document>>
console::LoadBase(const form_draft& aDraft)
{
  std::shared_ptr<const document> base;
  if (aDraft.mBaseVersion == 0) {
    co_return std::make_shared<const document>();
  }
  mTables.DocumentState().With([&](document_state& aState) {
    if (aState.ContentHash() == aDraft.mBaseHash) {
      base = aState.Document();
    }
  });
  if (base) {
    co_return base;
  }
  // The hash becomes part of a request path: accept hexadecimal digits only.
  bool isHash =
    aDraft.mBaseHash.size() == 64 &&
    aDraft.mBaseHash.find_first_not_of("0123456789abcdef") == std::string::npos;
  std::optional<std::string> text;
  if (isHash) {
    asio_http http;
    platform_client<asio_http> platform(http, mKernel.Settings().mPlatform);
    text = co_await platform.GetDocument(aDraft.mBaseHash);
  }
  if (text) {
    document_result parsed = ParseDocument(*text);
    if (parsed.mDocument) {
      base = std::make_shared<const document>(std::move(*parsed.mDocument));
    }
  }
  co_return base;
}

asio::awaitable<string_answer>
console::HandleDraft(console_post aPost)
{
  std::shared_ptr<const document> base = co_await LoadBase(aPost.mDraft);
  if (!base) {
    co_return Page(
      http::status::service_unavailable,
      RenderMessage("Base not available",
                    "The version that the draft is based on is not in force on "
                    "this instance and can't be read from the platform. Go "
                    "back in the browser and try again."));
  }
  ApplyRowAction(aPost);
  RemoveUnchangedParts(aPost.mDraft, *base);
  bool showsPart = aPost.mAction != console_action::Review &&
                   aPost.mAction != console_action::Submit;
  form_check check;
  bool needsCheck = aPost.mAction != console_action::Add &&
                    aPost.mAction != console_action::Remove &&
                    !aPost.mDraft.mParts.empty();
  if (needsCheck) {
    check = CheckDraft(aPost.mDraft, *base);
  }
  if (aPost.mAction != console_action::Submit || !IsRowToken(aPost.mChangeId)) {
    aPost.mChangeId = NewChangeId();
  }
  draft_view view{ aPost, *base, check.mFaults };
  if (showsPart) {
    co_return Page(http::status::ok, RenderPartPage(view));
  }
  bool isSubmission = aPost.mAction == console_action::Submit &&
                      check.mDocument.has_value() &&
                      IsRowToken(aPost.mSubmitter);
  if (isSubmission) {
    co_return co_await Submit(aPost, *base, *check.mDocument);
  }
  std::vector<document_change> changes;
  if (check.mDocument) {
    changes = Difference(*base, *check.mDocument);
  }
  co_return Page(check.mFaults.empty() ? http::status::ok
                                       : http::status::unprocessable_entity,
                 RenderReview(view, changes));
}

asio::awaitable<string_answer>
console::Submit(const console_post& aPost,
                const document& aBase,
                const document& aDocument)
{
  submission_request request;
  request.mText = RenderDocument(aDocument);
  request.mChangeId = aPost.mChangeId;
  request.mSubmitter = aPost.mSubmitter;
  request.mBase = aPost.mDraft.mBaseVersion;
  request.mTimeout = kSubmitTimeout;
  asio_http http;
  asio_clock clock;
  platform_client<asio_http> platform(http, mKernel.Settings().mPlatform);
  submission_outcome outcome =
    co_await RunSubmission(std::move(request), platform, clock);
  mKernel.Counters().Add("console_submissions_total", ToString(outcome.mKind));
  mKernel.Log().Info("console_submission",
                     { { "outcome", std::string(ToString(outcome.mKind)) },
                       { "version", std::to_string(outcome.mVersion) },
                       { "change_id", aPost.mChangeId },
                       { "submitter", aPost.mSubmitter } });
  const std::vector<form_fault> none;
  co_return Page(StatusOf(outcome.mKind),
                 RenderOutcome({ aPost, aBase, none }, outcome));
}

// Unique: the number is never reused within an incarnation of an instance.
std::string
console::NewChangeId()
{
  std::uint64_t number = ++mChangeIdCount;
  return ContentHash(mKernel.Settings().mInstance + "/" +
                     std::to_string(mKernel.Settings().mIncarnation) + "/" +
                     std::to_string(number))
    .substr(0, 32);
}

} // namespace laburnumdyke
