// The document version in force at one instance.
//
// The version number in force only increases: Accept() refuses an older
// version, and an invariant check stops the program if the number fails to
// grow.
#pragma once

#include "laburnumdyke/decision/document.h"
#include "laburnumdyke/decision/document_chunks.h"
#include "laburnumdyke/kernel/invariant.h"
#include "laburnumdyke/kernel/lock_rank.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace laburnumdyke {

class document_state
{
public:
  static constexpr lock_rank kLockRank = lock_rank::Document;

  // Puts a version in force. Returns false, and changes nothing, unless it is
  // newer than the version in force. aDocument must not be null.
  bool Accept(std::uint64_t aVersion,
              std::string aContentHash,
              object_map aObjects,
              std::shared_ptr<const document> aDocument)
  {
    if (aVersion <= mVersion) {
      return false;
    }
    std::uint64_t before = std::exchange(mVersion, aVersion);
    CheckInvariant(before < mVersion && aDocument != nullptr,
                   "version_in_force_grows",
                   "before=" + std::to_string(before) +
                     " version=" + std::to_string(mVersion));
    mContentHash = std::move(aContentHash);
    mObjects = std::move(aObjects);
    mDocument = std::move(aDocument);
    return true;
  }

  std::uint64_t Version() const { return mVersion; }
  const std::string& ContentHash() const { return mContentHash; }

  // The objects of the version in force. The next version reuses most of them,
  // and they are served to peers that can't reach the platform.
  const object_map& Objects() const { return mObjects; }

  // Null until the first version is in force.
  std::shared_ptr<const document> Document() const { return mDocument; }

private:
  std::uint64_t mVersion = 0;
  std::string mContentHash;
  object_map mObjects;
  std::shared_ptr<const document> mDocument;
};

} // namespace laburnumdyke
