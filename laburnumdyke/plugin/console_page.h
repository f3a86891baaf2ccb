// Writes one page of the console as HTML.
//
// Usage:
//   page_writer page("Overview");
//   page.Raw("<p>").Text(name).Raw("</p>\n");
//   return page.Take();
//
// Text from documents, peers and posts only passes through Text() and
// Attribute(), which escape it.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace laburnumdyke {

std::string
EscapeHtml(std::string_view aText);

// "failure_domain" as a label: "failure domain".
std::string
LabelOf(std::string_view aKey);

class page_writer
{
public:
  explicit page_writer(std::string_view aTitle);

  // Ends the page.
  std::string Take();

  page_writer& Raw(std::string_view aHtml);
  page_writer& Text(std::string_view aText);
  page_writer& Attribute(std::string_view aName, std::string_view aValue);
  void Hidden(std::string_view aName, std::string_view aValue);
  void Button(std::string_view aAction,
              std::string_view aLabel,
              std::string_view aClass = {},
              bool aCurrent = false);

  // Opens a table, which scrolls by itself where the screen is narrow.
  void Heads(std::initializer_list<std::string_view> aHeads);
  void EndTable();
  page_writer& Cell(std::string_view aText);
  page_writer& Cell(std::uint64_t aNumber);
  page_writer& NumberCell(std::string_view aText);

  void Notice(std::string_view aText, bool aBad);

private:
  std::string mOut;
};

} // namespace laburnumdyke
