// A document as content-addressed objects, so that a new version transfers only
// the objects that differ.
//
// The canonical text is split into content-defined chunks that end at line
// ends, so that a change of one line leaves most other chunks the same. Each
// chunk is stored under its SHA-256. A manifest lists the hashes of the chunks
// in order and is stored under its own SHA-256, which is the document's content
// hash.
//
// Usage, to read a document:
//   document_assembly assembly(contentHash);
//   if (!assembly.SetManifest(manifest)) { ...corrupt or another object... }
//   assembly.Reuse(previousObjects);
//   for (const std::string& hash : assembly.Missing()) {
//     if (!assembly.AddChunk(hash, Fetch(hash))) { ...corrupt... }
//   }
//   std::string text = assembly.Text();
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Objects by their hash. The versions of a document share the texts of the
// objects that they have in common.
using object_map = std::map<std::string, std::shared_ptr<const std::string>>;

// Returns the document's content hash, that of its manifest.
std::string
DocumentHash(std::string_view aCanonical);

struct document_objects
{
  std::string mHash;   // of the manifest
  object_map mObjects; // chunks and manifest
};

// Splits a canonical text into its chunks and manifest.
document_objects
SplitDocument(std::string_view aCanonical);

class document_assembly
{
public:
  explicit document_assembly(std::string aHash);

  // Returns false, and changes nothing, if the text is not a manifest or its
  // hash is not the document's.
  bool SetManifest(std::string aText);

  // Adds those objects that the manifest lists.
  void Reuse(const object_map& aObjects);

  // The hashes of the chunks in the manifest's order; a chunk may be repeated.
  const std::vector<std::string>& ChunkHashes() const { return mChunkHashes; }

  // The hashes of the chunks not added yet, without repeats, in the manifest's
  // order.
  std::vector<std::string> Missing() const;

  // Returns false, and changes nothing, if the text doesn't have this hash.
  bool AddChunk(const std::string& aHash, std::string aText);

  // Joins the chunks to the text of the document. Fails an invariant check if a
  // chunk is missing.
  std::string Text() const;

  // The manifest and the chunks; complete once Missing() is empty.
  const object_map& Objects() const { return mObjects; }

private:
  std::string mHash;
  std::vector<std::string> mChunkHashes;
  object_map mObjects;
};

} // namespace laburnumdyke
