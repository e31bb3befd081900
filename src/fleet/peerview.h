#pragma once

#include "fleet/fairshare.h"
#include "fleet/fleettypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::fleet {

//! What one router has in progress at an upstream.
struct UpstreamLoad
{
  UpstreamId upstream{};
  std::uint32_t unreadTokens = 0; //!< of prompts whose first token is due
  std::uint32_t running = 0;      //!< requests without their last byte
};

//! A prompt's part that was sent to an upstream lately.
struct PrefixUse
{
  std::uint64_t part = 0;
  UpstreamId upstream{};
};

struct WorkspaceTelling
{
  WorkspaceId workspace{};
  WorkspaceRate rate;
};

//! The newest clock value that the sender heard from another router.
struct ClockEcho
{
  base::RouterId router{};
  TimePoint sentAt{}; //!< by the clock of that router
};

//! What a router tells the others, each kTellPeriod. It may get lost; the
//! next one says it anew.
struct Telling
{
  std::string router;
  std::uint64_t life = 0; //!< higher at each start of the router
  std::uint64_t sequence = 0;
  TimePoint sentAt{}; //!< by the sender's clock, for echoes alone
  std::uint64_t configVersion = 0;
  Duration configAge{}; //!< since the version was proven the newest
  std::vector<ClockEcho> echoes;
  std::vector<UpstreamLoad> loads;
  std::vector<WorkspaceTelling> rates;
  std::vector<PrefixUse> uses;
};

//! The sum of what the other routers told lately.
class PeerView
{
public:
  //! Returns false for one that is older than what is known.
  bool Take(const Telling& aTelling, TimePoint aNow);
  //! Drops routers that have been silent for too long.
  void Forget(TimePoint aNow);

  UpstreamLoad LoadOf(UpstreamId aUpstream) const;
  const WorkspaceRates& Rates() const { return m_rates; }
  std::size_t Routers() const { return m_told.size(); }
  //! For each router heard, the clock value that it sent last.
  std::vector<ClockEcho> Echoes() const;
  //! Age of the oldest telling that counts.
  Duration Age(TimePoint aNow) const;

private:
  struct Told
  {
    Telling telling;
    TimePoint at{};
  };

  void Sum();

  std::map<std::string, Told> m_told;
  std::unordered_map<std::uint32_t, UpstreamLoad> m_loads;
  WorkspaceRates m_rates;
};

}
