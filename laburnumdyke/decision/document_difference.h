// The difference between two documents, as a list of changes and as text.
//
// Usage:
//   std::vector<document_change> changes = Difference(inForce, submitted);
//   std::cout << RenderDifference(changes);
//
// A section that is added or removed gives one change for each of its fields; a
// block that moves between failure domains gives one change. Changes are in the
// order of the canonical text. Takes time linear in the size of both documents.
#pragma once

#include "laburnumdyke/decision/document.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnumdyke {

struct document_change
{
  std::string mSection;               // "upstream booking-1", or "blocks"
  std::string mField;                 // the key; for blocks, the prefix
  std::optional<std::string> mBefore; // std::nullopt if added
  std::optional<std::string> mAfter;  // std::nullopt if removed

  bool operator==(const document_change&) const = default;
};

std::vector<document_change>
Difference(const document& aBefore, const document& aAfter);

// One line for each change: "upstream booking-1: state: serving -> leaving".
std::string
RenderDifference(const std::vector<document_change>& aChanges);

} // namespace laburnumdyke
