// The fields of each kind of section, in one table that the parser, the
// renderer, the difference and the operators' forms share.
//
// Usage:
//   for (const field_rule<region_spec>& rule : Fields<region_spec>()) {
//     out << rule.mKey << " = " << rule.mFormat(spec);
//   }
#pragma once

#include "laburnumdyke/decision/document.h"

#include <span>

namespace laburnumdyke {

template<class Spec>
struct field_rule
{
  std::string_view mKey;
  bool mRequired;
  std::string_view mExpected; // for messages: range and unit
  // Returns false if the text is not a valid value; the field may have changed.
  bool (*mParse)(Spec&, std::string_view);
  std::string (*mFormat)(const Spec&);
};

// Returns the fields in the order of the canonical text.
template<class Spec>
std::span<const field_rule<Spec>>
Fields();

template<>
std::span<const field_rule<region_spec>>
Fields();
template<>
std::span<const field_rule<domain_spec>>
Fields();
template<>
std::span<const field_rule<service_spec>>
Fields();
template<>
std::span<const field_rule<upstream_spec>>
Fields();
template<>
std::span<const field_rule<rank_spec>>
Fields();
template<>
std::span<const field_rule<link_spec>>
Fields();
template<>
std::span<const field_rule<shift_spec>>
Fields();

inline const std::string&
NameText(const std::string& aName)
{
  return aName;
}

template<class Tag>
const std::string&
NameText(const name_of<Tag>& aName)
{
  return aName.mValue;
}

// Calls aVisitor(kind, map) for each kind of section that the document keeps in
// a map: all but ranks and blocks.
template<class Document, class Visitor>
void
VisitSectionMaps(Document& aDocument, Visitor&& aVisitor)
{
  aVisitor("region", aDocument.mRegions);
  aVisitor("failure_domain", aDocument.mDomains);
  aVisitor("service", aDocument.mServices);
  aVisitor("upstream", aDocument.mUpstreams);
  aVisitor("link", aDocument.mLinks);
  aVisitor("shift", aDocument.mShifts);
}

} // namespace laburnumdyke
