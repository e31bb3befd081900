#include "decision/internal/configuration.h"

#include "base/error.h"
#include "base/hash.h"
#include "document/documentparser.h"

namespace hemlockgauge::decision {

namespace {

std::uint32_t
DigestOf(const std::string& aName, std::uint64_t aRevision)
{
  return aRevision == 0
           ? 0
           : base::HashName(aName + "@" + std::to_string(aRevision));
}

}

Configuration::Outcome
Configuration::Offer(const DocumentBody& aBody)
{
  const auto before = RevisionOf(aBody.name);
  const bool refused = m_refused.contains({ aBody.name, aBody.revision });
  if (aBody.revision <= before || refused) {
    return DocumentStale{};
  }
  try {
    auto parsed = std::make_shared<const document::ServiceDocument>(
      document::ParseDocument(aBody.name, aBody.text));
    if (parsed->name != aBody.name) {
      throw base::Error(base::ErrorCode::BadValue,
                        aBody.name + ": [service] name: expected " +
                          aBody.name);
    }
    m_digest ^=
      DigestOf(aBody.name, before) ^ DigestOf(aBody.name, aBody.revision);
    m_bodies[aBody.name] = aBody;
    DocumentInForce inForce{ aBody.revision, std::move(parsed) };
    m_inForce[aBody.name] = inForce;
    return inForce;
  } catch (const base::Error& error) {
    m_refused.emplace(aBody.name, aBody.revision);
    return DocumentRefused{ aBody.name, aBody.revision, error.what() };
  }
}

std::vector<DocumentVersion>
Configuration::Versions() const
{
  std::vector<DocumentVersion> versions;
  for (const auto& [name, inForce] : m_inForce) {
    versions.push_back({ name, inForce.revision });
  }
  return versions;
}

std::uint64_t
Configuration::RevisionOf(const std::string& aName) const
{
  const auto found = m_inForce.find(aName);
  return found == m_inForce.end() ? 0 : found->second.revision;
}

}
