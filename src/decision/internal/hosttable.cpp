#include "decision/internal/hosttable.h"

#include "base/hash.h"

namespace hemlockgauge::decision {

namespace {

//! NOTE the revision is left out: a router has its own entry before the host
//! list assigns a revision to it.
std::uint32_t
DigestOf(const HostEntry& aEntry)
{
  return base::HashName(aEntry.name + "#" +
                        std::to_string(static_cast<int>(aEntry.state)) +
                        aEntry.zone + aEntry.address.Text() +
                        aEntry.peerAddress.Text() + aEntry.pool);
}

template<typename Id>
const HostEntry*
FindIn(const std::map<Id, HostEntry>& aTable, Id aId)
{
  const auto found = aTable.find(aId);
  return found == aTable.end() ? nullptr : &found->second;
}

template<typename Id>
bool
MergeInto(std::map<Id, HostEntry>& aTable,
          const HostEntry& aEntry,
          std::uint32_t& aDigest)
{
  const auto [at, isNew] =
    aTable.try_emplace(Id(base::HashName(aEntry.name)), aEntry);
  if (isNew) {
    aDigest ^= DigestOf(aEntry);
    return true;
  }
  HostEntry& known = at->second;
  if (known.name != aEntry.name || known.revision >= aEntry.revision) {
    return false;
  }
  aDigest ^= DigestOf(known) ^ DigestOf(aEntry);
  known = aEntry;
  return true;
}

}

bool
HostTable::Merge(const HostEntry& aEntry)
{
  return aEntry.role == HostRole::Router
           ? MergeInto(m_routers, aEntry, m_digest)
           : MergeInto(m_upstreams, aEntry, m_digest);
}

const HostEntry*
HostTable::FindRouter(RouterId aRouter) const
{
  return FindIn(m_routers, aRouter);
}

const HostEntry*
HostTable::FindUpstream(UpstreamId aUpstream) const
{
  return FindIn(m_upstreams, aUpstream);
}

std::vector<HostEntry>
HostTable::All() const
{
  std::vector<HostEntry> all;
  for (const auto& [id, entry] : m_routers) {
    all.push_back(entry);
  }
  for (const auto& [id, entry] : m_upstreams) {
    all.push_back(entry);
  }
  return all;
}

}
