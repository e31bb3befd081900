#include "fleet/prefixmap.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

template<typename Holders>
auto
FindHolder(Holders& aHolders, UpstreamId aUpstream)
{
  return std::find_if(
    aHolders.begin(), aHolders.end(), [&](const PrefixMap::Holder& aHolder) {
      return aHolder.upstream == aUpstream;
    });
}

}

std::pair<PrefixMap::Holder&, bool>
PrefixMap::Touch(std::uint64_t aPart, UpstreamId aUpstream)
{
  EvictIfFull();
  auto& holders = m_holders[aPart];
  const auto found = FindHolder(holders, aUpstream);
  if (found != holders.end()) {
    found->lastUse = m_enteredTokens;
    found->lastTouch = ++m_touches;
    return { *found, false };
  }
  m_size++;
  holders.push_back(
    { aUpstream, m_enteredTokens, m_enteredTokens, ++m_touches });
  return { holders.back(), true };
}

//! Evicts a quarter of the entries at a time, as all have to be compared.
void
PrefixMap::EvictIfFull()
{
  if (m_size < m_maxHolders) {
    return;
  }
  std::vector<std::uint64_t> touches;
  touches.reserve(m_size);
  for (const auto& [part, holders] : m_holders) {
    for (const auto& holder : holders) {
      touches.push_back(holder.lastTouch);
    }
  }
  const auto kept = touches.begin() +
                    static_cast<std::ptrdiff_t>(m_size - m_maxHolders * 3 / 4);
  std::nth_element(touches.begin(), kept, touches.end());
  EraseHolders(
    [&](const Holder& aHolder) { return aHolder.lastTouch < *kept; });
}

template<typename Predicate>
void
PrefixMap::EraseHolders(const Predicate& aShouldErase)
{
  m_size = 0;
  for (auto& [part, holders] : m_holders) {
    std::erase_if(holders, aShouldErase);
    m_size += holders.size();
  }
  std::erase_if(m_holders,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
PrefixMap::RecordUse(std::uint64_t aPart, UpstreamId aUpstream)
{
  Touch(aPart, aUpstream).first.lastReported = m_enteredTokens;
}

bool
PrefixMap::RecordOwnUse(std::uint64_t aPart, UpstreamId aUpstream)
{
  const auto [holder, isNew] = Touch(aPart, aUpstream);
  const bool reports = isNew || IsRefreshDue(holder.lastReported);
  if (reports) {
    holder.lastReported = m_enteredTokens;
  }
  return reports;
}

std::uint32_t
PrefixMap::HeldTokens(const Work& aWork, UpstreamId aUpstream) const
{
  std::uint32_t held = 0;
  for (const auto& part : aWork.prompt) {
    const auto entry = m_holders.find(part.id);
    if (entry == m_holders.end()) {
      break;
    }
    const auto found = FindHolder(entry->second, aUpstream);
    if (found == entry->second.end() || IsExpired(*found)) {
      break;
    }
    held += part.tokens;
  }
  return held;
}

std::vector<UpstreamId>
PrefixMap::HoldersOf(std::uint64_t aPart) const
{
  std::vector<UpstreamId> holders;
  const auto entry = m_holders.find(aPart);
  if (entry == m_holders.end()) {
    return holders;
  }
  for (const auto& holder : entry->second) {
    if (!IsExpired(holder)) {
      holders.push_back(holder.upstream);
    }
  }
  return holders;
}

void
PrefixMap::ForgetIfDue()
{
  if (IsRefreshDue(m_forgottenAt)) {
    Forget();
  }
}

void
PrefixMap::Forget()
{
  m_forgottenAt = m_enteredTokens;
  EraseHolders([&](const Holder& aHolder) { return IsExpired(aHolder); });
}

}
