#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::fleet {

//! Which parts of prompts the upstreams are taken to hold, from what was
//! sent where, here and by other routers. An engine gives up what it has not
//! used for longest when it reads something new; so age is counted in what a
//! mean engine has read since, and nothing gets old while nothing is read.
class PrefixMap
{
public:
  //! aPart was read, or found again, at aUpstream.
  void Used(std::uint64_t aPart, UpstreamId aUpstream);
  //! Tokens of the prompt's leading parts that aUpstream is taken to hold.
  std::uint32_t Held(const Work& aWork, UpstreamId aUpstream) const;
  //! A mean engine has read aTokens more.
  void Advance(double aTokens) { m_read += aTokens; }
  void Forget();
  std::size_t Size() const { return m_lastUse.size(); }

private:
  static std::uint64_t KeyOf(std::uint64_t aPart, UpstreamId aUpstream);
  bool IsOld(double aLastUse) const;

  double m_read = 0; //!< tokens, by a mean engine
  //! m_read at the last use, by part and upstream.
  std::unordered_map<std::uint64_t, double> m_lastUse;
};

}
