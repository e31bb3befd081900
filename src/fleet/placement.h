#pragma once

#include "base/enumnames.h"
#include "fleet/fleetconstants.h"
#include "fleet/fleettypes.h"
#include "fleet/loadspread.h"
#include "fleet/prefixcopy.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hemlockgauge::fleet {

//! An upstream that may get a request, with the estimates for that request.
struct Candidate
{
  UpstreamId upstream{};
  double unreadTokens = 0;        //!< pending there, from all routers
  double missingTokens = 0;       //!< of this request, to be prefilled there
  std::optional<PrefixCopy> copy; //!< replaces part of the prefill
  double prefillRate = 1;         //!< prefilled tokens per ms
  //! Time of a first token besides copy and prefill, in ms.
  double fixedMs = kFirstTokenOverheadMs;
  std::uint32_t running = 0; //!< requests, of all routers
  std::uint32_t slots = 1;
  double serviceMs = 0;    //!< mean service time of a plain upstream's request
  double failureRatio = 0; //!< recent failures, see UpstreamHealth
  bool sameZone = true;
  bool isEngine = false;

  //! Predicted time in ms to the first token, or to a plain service's answer.
  double PredictedMs() const;
  //! How many mean service times one more request takes at a plain service,
  //! including the wait for a slot; 1 where a slot is free.
  double Rounds() const;
};

//! Places requests by their shared prefix. Rendezvous hashing of the prefix
//! ranks the upstreams alike at all routers without communication; a lower
//! ranked upstream is used once it is sooner by more than the rank's penalty.
//! For loads of few long prefixes and many requests, each prefix is prefilled
//! once and then found in the KV cache. Only the first kPrefixCandidates ranks
//! are considered: load reports are a few hundred ms old, so if all routers
//! looked at all engines, all would send to the few that were idle then and
//! overload them for a second.
struct PrefixAffinity
{};

//! Baseline: the shortest predicted wait, without regard to cached prefixes.
struct LeastWait
{};

//! The shortest predicted wait among kSampledCandidates engines that are
//! sampled by the request's key, so that routers with the same outdated load
//! reports choose different engines.
struct SampledLeastWait
{};

using PlacementPolicy =
  std::variant<PrefixAffinity, LeastWait, SampledLeastWait>;

enum class PlacementKind : std::uint8_t
{
  PrefixAffinity,
  LeastWait
};
inline constexpr auto kPlacementKindNames =
  base::MakeEnumNames<PlacementKind>("prefix-affinity", "least-wait");

PlacementPolicy
MakePlacementPolicy(PlacementKind aKind);

//! The policy for a request that would be refused where the regular policy
//! places it: uses other engines, even if the whole prompt needs prefill there.
//! To be used with the request's own key instead of its prefix.
PlacementPolicy
OverflowPolicy();

//! How many of the engines ranked by the key aPolicy considers.
std::size_t
MaxCandidates(const PlacementPolicy& aPolicy);

//! The chosen upstream.
struct Placed
{
  std::size_t candidate = 0; //!< index into the candidates
  double predictedMs = 0;    //!< see Candidate::PredictedMs
  int rank = 0;              //!< by rendezvous hashing of the key, from 0
};

//! Chooses one of aCandidates, which are the upstreams within the policy's
//! reach, or nothing if there are none. aKey ranks the upstreams: the id of the
//! prompt's shared part, or any value that differs between requests if there is
//! none.
std::optional<Placed>
Place(const PlacementPolicy& aPolicy,
      const std::vector<Candidate>& aCandidates,
      std::uint64_t aKey,
      const UnseenLoad& aUnseen = {});

}
