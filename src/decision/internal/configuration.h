#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace hemlockgauge::decision {

struct DocumentStale
{};

//! The documents in force. A higher revision wins, whoever brings it; an
//! invalid one is refused and the last good one stays.
class Configuration
{
public:
  using Outcome = std::variant<DocumentStale, DocumentInForce, DocumentRefused>;

  Outcome Offer(const DocumentBody& aBody);

  const std::map<std::string, DocumentBody>& Bodies() const { return m_bodies; }
  const std::map<std::string, DocumentInForce>& InForce() const
  {
    return m_inForce;
  }
  std::vector<DocumentVersion> Versions() const;
  //! The revision in force; 0 if there is none.
  std::uint64_t RevisionOf(const std::string& aName) const;
  std::uint32_t Digest() const { return m_digest; }

private:
  std::map<std::string, DocumentBody> m_bodies;
  std::map<std::string, DocumentInForce> m_inForce;
  std::set<std::pair<std::string, std::uint64_t>> m_refused;
  std::uint32_t m_digest = 0;
};

}
