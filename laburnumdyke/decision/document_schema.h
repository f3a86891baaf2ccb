// The fields of each kind of section: one table that the reader, the renderer,
// the difference and the operators' forms share.
//
// Usage:
//   for (const field_rule<region_spec>& rule : Fields<region_spec>()) {
//     out << rule.mKey << " = " << rule.mShow(spec);
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
  std::string_view mExpected; // range and unit
  bool (*mTake)(Spec&, std::string_view);
  std::string (*mShow)(const Spec&);
};

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

// Calls aVisitor(kind, map) for each kind whose sections stand in a map.
template<class Document, class Visitor>
void
VisitKinds(Document& aDocument, Visitor&& aVisitor)
{
  aVisitor("region", aDocument.mRegions);
  aVisitor("failure_domain", aDocument.mDomains);
  aVisitor("service", aDocument.mServices);
  aVisitor("upstream", aDocument.mUpstreams);
  aVisitor("link", aDocument.mLinks);
  aVisitor("shift", aDocument.mShifts);
}

} // namespace laburnumdyke
