// Parses a new version of the document incrementally, from the chunks that
// changed since the previous version.
//
// Usage (previous is empty at first):
//   version_result read = ReadVersion(assembly, previous);
//   if (read.mResult.mDocument) {
//     previous = { hash, assembly.Objects(), document, read.mIncremental };
//   }
//
// The result equals that of ParseDocument() on the joined text: the same
// document, or the same faults by line and field. Blocks in chunks that both
// versions have are taken from the previous document; a list of blocks without
// any change is shared with it. All other sections are parsed, and the complete
// document is validated, each time.
//
// Cost: parsing the sections before the blocks and the blocks of the chunks
// that differ, and copying each list that changes. A text that is not in the
// canonical layout, or has faults, is parsed in full.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"

#include <memory>
#include <string>

namespace laburnumdyke {

// An accepted version of the document, with its objects.
struct document_version
{
  std::string mHash;
  object_map mObjects;
  std::shared_ptr<const document> mDocument; // null: none
  // Whether ReadVersion() parsed it incrementally. Then every line of blocks is
  // in canonical form, and the next version can be parsed from the difference;
  // else this version is ignored.
  bool mIncremental = false;
};

struct version_result
{
  document_result mResult;
  bool mIncremental = false; // false: the joined text was parsed in full
};

// aNext must be complete: its Missing() is empty.
version_result
ReadVersion(const document_assembly& aNext, const document_version& aPrevious);

} // namespace laburnumdyke
