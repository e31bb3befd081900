#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"
#include "fleet/loadspread.h"
#include "fleet/prefixcopy.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hemlockgauge::fleet {

//! An upstream as a request sees it that looks for a place.
struct Candidate
{
  UpstreamId upstream{};
  double unreadTokens = 0;        //!< at the upstream, of all routers
  double missingTokens = 0;       //!< of this request, to be read there
  std::optional<PrefixCopy> copy; //!< what it needs not read for that
  double readRate = 1;            //!< tokens a ms
  std::uint32_t running = 0;
  std::uint32_t slots = 1;
  double serviceMs = 0; //!< mean time that a plain service works on a request
  double failurePart = 0;
  bool sameZone = true;
  bool isEngine = false;

  //! Foreseen time to the first token, or to a plain service's answer.
  double ForeseenMs() const;
  //! So many times a plain service works off its slots until it has answered
  //! one more request; 1 where a slot is free.
  double Rounds() const;
};

//! Places by the shared prefix: an order of the upstreams that is the same
//! at all routers without a message (rendezvous hashing), left for another
//! rank as soon as that one is that much sooner. Answers the load pattern
//! "few long prefixes, many requests": read once, found again after.
//! Only the first kPrefixReach ranks count. What a router knows of the load
//! is a few hundred ms old; if all looked at all engines, all would send to
//! the same few that were empty then, and fill them for a second.
struct PrefixAffinity
{};

//! Baseline: the least foreseen wait, whatever is held where.
struct LeastWait
{};

//! The least foreseen wait of kSampleSize engines that are drawn by the key:
//! routers with the same old view then draw different ones.
struct SampledWait
{};

using PlacementPolicy = std::variant<PrefixAffinity, LeastWait, SampledWait>;

enum class PlacementKind : std::uint8_t
{
  PrefixAffinity,
  LeastWait
};
inline constexpr auto kPlacementKindNames =
  base::MakeEnumNames<PlacementKind>("prefix-affinity", "least-wait");

PlacementPolicy
MakePlacementPolicy(PlacementKind aKind);

//! For a request that would be refused where the policy wants it: elsewhere,
//! whatever has to be read again for that. Its key is the request's own.
PlacementPolicy
Spread();

//! How many engines of the key's order aPolicy looks at.
std::size_t
ReachOf(const PlacementPolicy& aPolicy);

//! Keeps the first aReach in the order of the key, in any order.
void
KeepNearest(std::vector<UpstreamId>& aUpstreams,
            std::uint64_t aKey,
            std::size_t aReach);

struct Placed
{
  std::size_t candidate = 0; //!< index
  double foreseenMs = 0;
  int rank = 0; //!< in the order of the prefix; 0 for plain requests
};

//! aCandidates: those within the policy's reach. aKey: by which the order of
//! the upstreams is drawn: the shared part of the prompt, or anything that
//! differs between requests without one.
std::optional<Placed>
Place(const PlacementPolicy& aPolicy,
      const std::vector<Candidate>& aCandidates,
      std::uint64_t aKey,
      const UnseenLoad& aUnseen = {});

}
