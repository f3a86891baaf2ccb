// Builder for one HTML page of the console.
//
// Usage:
//   page_writer page("Overview");
//   page.Raw("<p>").Text(name).Raw("</p>\n");
//   return page.Take();
//
// Pass text from documents, peers and forms through methods that escape it,
// such as Text() and Attribute(); Raw() appends its argument unchanged.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace laburnumdyke {

std::string
EscapeHtml(std::string_view aText);

// Returns the label for a key: "failure domain" for "failure_domain".
std::string
LabelOf(std::string_view aKey);

class page_writer
{
public:
  explicit page_writer(std::string_view aTitle);

  // Closes the document and returns it. The writer must not be used afterwards.
  std::string Finish();

  page_writer& Raw(std::string_view aHtml);
  page_writer& Text(std::string_view aText);
  page_writer& Attribute(std::string_view aName, std::string_view aValue);
  void Hidden(std::string_view aName, std::string_view aValue);
  void Button(std::string_view aAction,
              std::string_view aLabel,
              std::string_view aClass = {},
              bool aCurrent = false);

  // Opens a table with one heading per column. The table scrolls horizontally
  // on narrow screens.
  void BeginTable(std::initializer_list<std::string_view> aHeadings);
  void EndTable();
  page_writer& Cell(std::string_view aText);
  page_writer& Cell(std::uint64_t aNumber);
  page_writer& NumberCell(std::string_view aText);

  // A highlighted paragraph, announced as an alert if aIsError.
  void Notice(std::string_view aText, bool aIsError);

private:
  std::string mOut;
};

} // namespace laburnumdyke
