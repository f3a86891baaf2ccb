// The difference between two documents, as typed rows and as text.
//
// Usage:
//   std::vector<document_change> changes = Difference(inForce, submitted);
//   std::cout << RenderDifference(changes);
//
// A section that is added or removed has one row for each of its fields. A
// block that moves between failure domains has one row. Rows stand in the
// order of the canonical text; the cost is linear in the two documents.
#pragma once

#include "laburnumdyke/decision/document.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

struct document_change
{
  std::string mSection;               // "upstream booking-1", or "blocks"
  std::string mField;                 // a key; for blocks, the prefix
  std::optional<std::string> mBefore; // nothing: added
  std::optional<std::string> mAfter;  // nothing: removed

  bool operator==(const document_change&) const = default;
};

std::vector<document_change>
Difference(const document& aBefore, const document& aAfter);

// One line for each row: "upstream booking-1: state: serving -> leaving".
std::string
RenderDifference(const std::vector<document_change>& aChanges);

} // namespace laburnumdyke
