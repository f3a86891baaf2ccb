#include "laburnumdyke/plugin/console_page.h"

#include <algorithm>

namespace laburnumdyke {

std::string
EscapeHtml(std::string_view aText)
{
  std::string out;
  for (char byte : aText) {
    switch (byte) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += byte;
    }
  }
  return out;
}

std::string
LabelOf(std::string_view aKey)
{
  std::string label(aKey);
  std::replace(label.begin(), label.end(), '_', ' ');
  return label;
}

page_writer::page_writer(std::string_view aTitle)
{
  Raw("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
      "<meta charset=\"utf-8\">\n"
      "<meta name=\"viewport\" content=\"width=device-width\">\n<title>");
  Text(aTitle);
  Raw(" - laburnumdyke</title>\n"
      "<link rel=\"stylesheet\" href=\"/console/style.css\">\n</head>\n"
      "<body>\n<header><a href=\"/console\">laburnumdyke console</a>"
      "</header>\n<main>\n<h1>");
  Text(aTitle);
  Raw("</h1>\n");
}

std::string
page_writer::Finish()
{
  Raw("</main>\n</body>\n</html>\n");
  return std::move(mOut);
}

page_writer&
page_writer::Raw(std::string_view aHtml)
{
  mOut.append(aHtml);
  return *this;
}

page_writer&
page_writer::Text(std::string_view aText)
{
  mOut.append(EscapeHtml(aText));
  return *this;
}

page_writer&
page_writer::Attribute(std::string_view aName, std::string_view aValue)
{
  return Raw(" ").Raw(aName).Raw("=\"").Text(aValue).Raw("\"");
}

void
page_writer::Hidden(std::string_view aName, std::string_view aValue)
{
  Raw("<input type=\"hidden\"");
  Attribute("name", aName).Attribute("value", aValue).Raw(">\n");
}

void
page_writer::Button(std::string_view aAction,
                    std::string_view aLabel,
                    std::string_view aClass,
                    bool aCurrent)
{
  Raw("<button name=\"action\"").Attribute("value", aAction);
  if (!aClass.empty()) {
    Attribute("class", aClass);
  }
  if (aCurrent) {
    Attribute("aria-current", "page");
  }
  Raw(">").Text(aLabel).Raw("</button>\n");
}

void
page_writer::BeginTable(std::initializer_list<std::string_view> aHeadings)
{
  Raw("<div class=\"table\"><table>\n<tr>");
  for (std::string_view head : aHeadings) {
    Raw("<th scope=\"col\">").Text(head).Raw("</th>");
  }
  Raw("</tr>\n");
}

page_writer&
page_writer::Cell(std::string_view aText)
{
  return Raw("<td>").Text(aText).Raw("</td>");
}

page_writer&
page_writer::Cell(std::uint64_t aNumber)
{
  return NumberCell(std::to_string(aNumber));
}

page_writer&
page_writer::NumberCell(std::string_view aText)
{
  return Raw("<td class=\"number\">").Text(aText).Raw("</td>");
}

void
page_writer::EndTable()
{
  Raw("</table></div>\n");
}

void
page_writer::Notice(std::string_view aText, bool aIsError)
{
  Raw(aIsError ? "<p class=\"notice bad\" role=\"alert\">"
               : "<p class=\"notice\" role=\"status\">");
  Text(aText).Raw("</p>\n");
}

} // namespace laburnumdyke
