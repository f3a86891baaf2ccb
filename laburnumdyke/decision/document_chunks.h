// A document as objects, so that a change moves only what differs.
//
// The canonical text is cut at line ends chosen by content, so that a change
// of one line leaves the other chunks as they were. Each chunk is stored under
// its SHA-256; a manifest names the chunks in order and is stored under its
// own, which is the document's content hash.
//
// Usage, to read one:
//   document_assembly assembly(contentHash);
//   assembly.TakeManifest(text);             // false: not the one named
//   for (const std::string& hash : assembly.Missing()) {
//     assembly.TakeChunk(hash, text);        // false: not the one named
//   }
//   assembly.Text();
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumdyke {

// Objects by the hash they are stored under. Texts are shared between the
// versions of a document.
using object_map = std::map<std::string, std::shared_ptr<const std::string>>;

// The manifest's hash.
std::string
DocumentHash(std::string_view aCanonical);

struct document_objects
{
  std::string mHash;   // of the manifest
  object_map mObjects; // chunks and manifest
};

document_objects
SplitDocument(std::string_view aCanonical);

class document_assembly
{
public:
  explicit document_assembly(std::string aHash);

  bool TakeManifest(std::string aText);

  // Uses the chunks that are at hand.
  void Reuse(const object_map& aObjects);

  // The chunks named by the manifest.
  const std::vector<std::string>& Order() const { return mOrder; }

  // Chunks that are named and not yet taken, in the manifest's order.
  std::vector<std::string> Missing() const;

  bool TakeChunk(const std::string& aHash, std::string aText);

  // The canonical text; call when nothing is missing.
  std::string Text() const;

  // Every object of the document; call when nothing is missing.
  const object_map& Objects() const { return mObjects; }

private:
  std::string mHash;
  std::vector<std::string> mOrder;
  object_map mObjects;
};

} // namespace laburnumdyke
