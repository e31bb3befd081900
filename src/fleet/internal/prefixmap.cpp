#include "fleet/prefixmap.h"

#include "fleet/fleetconstants.h"

namespace hemlockgauge::fleet {

namespace {

//! Odd 64-bit constant that spreads an upstream's id over all bits.
constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15ULL;

}

std::uint64_t
PrefixMap::KeyOf(std::uint64_t aPart, UpstreamId aUpstream)
{
  return aPart ^ (std::uint64_t{ base::Raw(aUpstream) } * kSpread);
}

bool
PrefixMap::IsOld(double aLastUse) const
{
  return m_read - aLastUse > kPrefixKeptTokens;
}

void
PrefixMap::Used(std::uint64_t aPart, UpstreamId aUpstream)
{
  m_lastUse[KeyOf(aPart, aUpstream)] = m_read;
}

std::uint32_t
PrefixMap::Held(const Work& aWork, UpstreamId aUpstream) const
{
  std::uint32_t held = 0;
  for (const auto& part : aWork.prompt) {
    const auto found = m_lastUse.find(KeyOf(part.id, aUpstream));
    if (found == m_lastUse.end() || IsOld(found->second)) {
      break;
    }
    held += part.tokens;
  }
  return held;
}

void
PrefixMap::Forget()
{
  std::erase_if(m_lastUse,
                [&](const auto& aEntry) { return IsOld(aEntry.second); });
}

}
