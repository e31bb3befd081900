#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace hemlockgauge::decision {

//! The offered revision is not newer than the one in force, or was refused
//! before.
struct DocumentStale
{};

//! Holds the documents in force. A higher revision replaces a lower one,
//! whatever its source; an invalid document is refused and the last valid one
//! stays in force.
class Configuration
{
public:
  using Outcome = std::variant<DocumentStale, DocumentInForce, DocumentRefused>;

  //! Validates a document and puts it in force if it is newer.
  Outcome Offer(const DocumentBody& aBody);

  const std::map<std::string, DocumentBody>& Bodies() const { return m_bodies; }
  const std::map<std::string, DocumentInForce>& InForce() const
  {
    return m_inForce;
  }
  std::vector<DocumentVersion> Versions() const;
  //! Returns the revision in force, or 0 if there is none.
  std::uint64_t RevisionOf(const std::string& aName) const;
  //! Identical on routers with the same revisions in force.
  std::uint32_t Digest() const { return m_digest; }

private:
  std::map<std::string, DocumentBody> m_bodies;
  std::map<std::string, DocumentInForce> m_inForce;
  std::set<std::pair<std::string, std::uint64_t>> m_refused;
  std::uint32_t m_digest = 0;
};

}
