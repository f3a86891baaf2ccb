// Reads a version of the document in proportion to what changed since the one
// before.
//
// Usage:
//   version_result read = ReadVersion(assembly, previous);
//   if (read.mResult.mDocument) {
//     previous = { hash, assembly.Objects(), document, read.mByChunk };
//   }
//
// The result is that of ParseDocument over the joined text: the same document,
// or the same faults by line and field. Blocks in chunks that both versions
// have are taken from the earlier document, whose lists the new one shares
// where no block of theirs changed. The other sections are read and the whole
// is validated each time.
//
// Costs: the sections before the blocks, the chunks that differ, and a copy of
// each list that changes. A text in another than the canonical layout, or with
// faults, is read whole.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"

#include <memory>
#include <string>

namespace laburnumdyke {

// A version that was accepted, with its objects.
struct document_version
{
  std::string mHash;
  object_map mObjects;
  std::shared_ptr<const document> mDocument; // null: none
  // Read by chunk, as were those it was read from: every line of blocks is in
  // canonical form, so that it can be built on. Else it is passed over.
  bool mByChunk = false;
};

struct version_result
{
  document_result mResult;
  bool mByChunk = false; // false: the joined text was read
};

// Nothing may be missing from aNext.
version_result
ReadVersion(const document_assembly& aNext, const document_version& aPrevious);

} // namespace laburnumdyke
