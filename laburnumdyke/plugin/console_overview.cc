// The overview page: links to the edit forms, then one table each for
// instances, regions, drains, ranks and refusals.
#include "laburnumdyke/plugin/console_html.h"
#include "laburnumdyke/plugin/console_page.h"

#include <cstdio>

namespace laburnumdyke {

namespace {

using std::chrono::microseconds;

std::string
FormatLatency(microseconds aTime)
{
  char buffer[32];
  std::snprintf(buffer,
                sizeof buffer,
                "%.2f ms",
                static_cast<double>(aTime.count()) / 1000.0);
  return buffer;
}

void
WriteInstances(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Instances</h2>\n");
  aPage.BeginTable(
    { "instance", "region", "failure domain", "version in force", "state" });
  std::vector<instance_view> instances = aStatus.mPeers;
  instances.insert(instances.begin(), aStatus.mSelf);
  for (const instance_view& one : instances) {
    aPage.Raw("<tr>")
      .Cell(one.mMember.mInstance.mValue)
      .Cell(one.mMember.mRegion.mValue)
      .Cell(one.mMember.mDomain.mValue)
      .Cell(one.mVersion)
      .Cell(one.mMember.mLeaving ? "leaving" : "live")
      .Raw("</tr>\n");
  }
  aPage.EndTable();
}

void
WriteRegions(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Headroom by region</h2>\n");
  aPage.BeginTable({ "region", "cap", "slots of live instances", "free" });
  for (const region_view& region : aStatus.mRegions) {
    aPage.Raw("<tr>")
      .Cell(region.mRegion.mValue)
      .Cell(region.mCap)
      .Cell(region.mSlots)
      .Cell(region.mFree)
      .Raw("</tr>\n");
  }
  aPage.EndTable();
}

void
WriteRanks(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Ranks at this instance</h2>\n");
  if (aStatus.mRanks.empty()) {
    aPage.Raw("<p>No request has been answered yet.</p>\n");
    return;
  }
  aPage.BeginTable({ "rank", "requests", "median", "99th percentile" });
  for (const latency_summary& rank : aStatus.mRanks) {
    aPage.Raw("<tr>")
      .Cell(rank.mLabel)
      .Cell(rank.mCount)
      .NumberCell(FormatLatency(rank.mMedian))
      .NumberCell(FormatLatency(rank.mP99))
      .Raw("</tr>\n");
  }
  aPage.EndTable();
}

void
WriteRefusals(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Refusals at this instance</h2>\n");
  if (aStatus.mRefusals.empty()) {
    aPage.Raw("<p>None.</p>\n");
    return;
  }
  aPage.BeginTable({ "counter", "reason", "count" });
  for (const refusal_view& refusal : aStatus.mRefusals) {
    aPage.Raw("<tr>")
      .Cell(refusal.mKey.mName)
      .Cell(refusal.mKey.mReason)
      .Cell(refusal.mCount)
      .Raw("</tr>\n");
  }
  aPage.EndTable();
}

void
WriteDrains(page_writer& aPage, const status_view& aStatus)
{
  aPage.Raw("<h2>Drains in progress</h2>\n");
  if (aStatus.mDrains.empty()) {
    aPage.Raw("<p>No upstream is leaving.</p>\n");
    return;
  }
  aPage.BeginTable({ "upstream", "service", "failure domain" });
  for (const drain_view& drain : aStatus.mDrains) {
    aPage.Raw("<tr>")
      .Cell(drain.mUpstream.mValue)
      .Cell(drain.mSpec.mService.mValue)
      .Cell(drain.mSpec.mDomain.mValue)
      .Raw("</tr>\n");
  }
  aPage.EndTable();
}

} // namespace

std::string
RenderOverview(const status_view& aStatus)
{
  page_writer page("Overview");
  if (aStatus.mSelf.mVersion == 0) {
    page.Notice("No document is in force yet at this instance.", true);
  } else {
    page.Raw("<p>Version in force: <strong>")
      .Text(std::to_string(aStatus.mSelf.mVersion))
      .Raw("</strong>, content hash <code>")
      .Text(aStatus.mSelf.mContentHash)
      .Raw("</code></p>\n");
  }
  page.Raw("<h2>Change the document</h2>\n<ul>\n");
  for (const form_part& part : FormParts()) {
    page.Raw("<li><a")
      .Attribute("href", "/console/edit/" + std::string(part.mKind))
      .Raw(">")
      .Text(part.mTitle)
      .Raw("</a></li>\n");
  }
  page.Raw("</ul>\n");
  WriteInstances(page, aStatus);
  WriteRegions(page, aStatus);
  WriteDrains(page, aStatus);
  WriteRanks(page, aStatus);
  WriteRefusals(page, aStatus);
  return page.Finish();
}

} // namespace laburnumdyke
