#pragma once

#include "fleet/fleetconstants.h"
#include "fleet/fleettypes.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::fleet {

//! Which parts of prompts the upstreams are taken to hold, from what was
//! sent where, here and by other routers. An engine gives up what it has not
//! used for longest when something new needs the room; so age is counted in
//! tokens that came into a mean engine's memory since, and nothing gets old
//! while nothing is read.
class PrefixMap
{
public:
  struct Holder
  {
    UpstreamId upstream{};
    double lastUse = 0; //!< what had come into a mean engine's memory by then
  };

  //! How much comes into an engine's memory until it has given up what it did
  //! not use.
  void SetKept(double aTokens) { m_kept = aTokens; }
  //! aPart was read, or found again, at aUpstream.
  void Used(std::uint64_t aPart, UpstreamId aUpstream);
  //! Tokens of the prompt's leading parts that aUpstream is taken to hold.
  std::uint32_t Held(const Work& aWork, UpstreamId aUpstream) const;
  //! Those that are taken to hold aPart, in no order.
  std::vector<UpstreamId> HoldersOf(std::uint64_t aPart) const;
  //! aTokens more came into a mean engine's memory.
  void Advance(double aTokens) { m_filled += aTokens; }
  void Forget();
  std::size_t Size() const;

private:
  bool IsOld(const Holder& aHolder) const
  {
    return m_filled - aHolder.lastUse > m_kept;
  }

  double m_kept = kPrefixKeptUnsaid;
  double m_filled = 0; //!< tokens, of a mean engine
  std::unordered_map<std::uint64_t, std::vector<Holder>> m_holders;
};

}
