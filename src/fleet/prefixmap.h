#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::fleet {

//! Which parts of prompts the upstreams are taken to hold, from what was
//! sent where, here and by other routers.
class PrefixMap
{
public:
  //! aPart was read, or found again, at aUpstream.
  void Used(std::uint64_t aPart, UpstreamId aUpstream, TimePoint aNow);
  //! Tokens of the prompt's leading parts that aUpstream is taken to hold.
  std::uint32_t Held(const Work& aWork,
                     UpstreamId aUpstream,
                     TimePoint aNow) const;
  void Forget(TimePoint aNow);
  std::size_t Size() const { return m_lastUse.size(); }

private:
  static std::uint64_t KeyOf(std::uint64_t aPart, UpstreamId aUpstream);

  std::unordered_map<std::uint64_t, TimePoint> m_lastUse;
};

}
