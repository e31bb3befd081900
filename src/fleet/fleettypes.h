#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/callerlimits.h"
#include "base/enumnames.h"
#include "base/hash.h"
#include "base/verdict.h"
#include "quarantine/trait.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

//! Data that placement and admission work on: the configuration in force, the
//! upstreams, and the work that a request needs.
namespace hemlockgauge::fleet {

using base::Duration;
using base::ServiceId;
using base::TimePoint;
using base::UpstreamId;
using base::WorkspaceId;
using quarantine::RequestFingerprint;

//! How often a request may run.
enum class CallKind : std::uint8_t
{
  Idempotent, //!< any number of times
  AtMostOnce, //!< once
  Stream      //!< answered by a stream of events; once unless it is resumable
};
inline constexpr auto kCallKindNames =
  base::MakeEnumNames<CallKind>("idempotent", "at-most-once", "stream");

//! Priority of requests whose route and workspace have none; 0 is the highest.
inline constexpr std::uint32_t kDefaultPriority = 1;
inline constexpr std::uint32_t kMaxPriority = 255; //!< the lowest

//! A service that gets a weighted part of a route's requests.
struct ServiceWeight
{
  std::string service;
  std::uint32_t weight = 1;
};

//! Requests to one host and path prefix, and how they are handled.
struct Route
{
  std::string name;
  std::string host;
  std::string prefix; //!< begins and ends with a slash
  CallKind kind = CallKind::AtMostOnce;
  Duration timeout{ 30000 }; //!< from the arrival to the end of the answer
  Duration target{ 1000 };   //!< from the arrival to the start of the answer
  std::uint32_t maxAttempts = 1;
  bool isPublic = false;  //!< requests need no key
  bool resumable = false; //!< a stream may be resumed at another upstream
  //! Order of waiting requests of workspaces with the same entitlement.
  std::uint32_t priority = kDefaultPriority;
  std::vector<ServiceWeight> split;
  //! Regions in which its requests may run; empty: all.
  std::vector<std::string> allowedRegions;

  bool MayRunAgain() const
  {
    return kind == CallKind::Idempotent ||
           (kind == CallKind::Stream && resumable);
  }
};

//! A service: a set of equal upstreams, either model engines or plain.
struct Service
{
  std::string name;
  std::uint32_t engineSlots = 0; //!< 0: not a model engine
  //! Size of an engine's KV cache in tokens, shared by running requests and
  //! cached prompts. 0: not configured.
  double kvCacheTokens = 0;
  double kvBytesPerToken = 0; //!< of the KV cache; 0: not configured
  //! Bandwidth of the links over which engines copy cached tokens from each
  //! other, in Mbit/s; 0: no such links.
  double copyMbps = 0;

  //! Requests per second that a cold upstream can take from all routers
  //! together; 0: not configured.
  double coldRequestsPerSecond = 0;

  bool IsEngine() const { return engineSlots > 0; }
  bool CanCopy() const { return copyMbps > 0 && kvBytesPerToken > 0; }
};

//! One version of the configuration; immutable once built.
struct FleetConfig
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  base::CallerLimits limits;
  //! Nominal capacity of all engines together, in tokens per second as counted
  //! by Work::Cost. 0: not configured.
  double nominalTokensPerSecond = 0;
  bool needsKeys = false;
  std::unordered_map<std::string, std::string> workspaceOfKey;
  //! Regions in which a workspace's requests may run. A workspace without an
  //! entry may run in all regions.
  std::unordered_map<std::string, std::vector<std::string>> regionsOfWorkspace;
  //! Priorities that take precedence over the route's. A workspace without an
  //! entry has the route's.
  std::unordered_map<std::string, std::uint32_t> priorityOfWorkspace;

  std::uint32_t PriorityOf(const Route& aRoute,
                           const std::string& aWorkspace) const
  {
    const auto found = priorityOfWorkspace.find(aWorkspace);
    return found == priorityOfWorkspace.end() ? aRoute.priority : found->second;
  }
};

using ConfigPtr = std::shared_ptr<const FleetConfig>;

//! One upstream as the platform lists it.
struct UpstreamEntry
{
  std::string id; //!< may stay the same over a restart of the upstream
  //! Unix time of the upstream's start, in ms; empty if not reported.
  std::optional<std::uint64_t> startedAt;
  //! False if the entry can't be parsed or contains invalid values. Then only
  //! the id is set, and no request is sent to the upstream.
  bool usable = true;
  std::string service;
  base::Address address;
  std::string zone;
  //! Version of the upstream's software; empty if unknown.
  std::string softwareVersion;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration coldFor{}; //!< remaining cold time when the entry was written

  bool operator==(const UpstreamEntry&) const = default;
};

//! An entry that all parts of a router share; replaced when it changes.
using UpstreamEntryPtr = std::shared_ptr<const UpstreamEntry>;

//! One part of a prompt. Parts with the same id have the same tokens.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

//! Maximum number of shared parts of one prompt that are remembered. Callers
//! state the parts, so their number has to be bounded.
inline constexpr std::size_t kMaxSharedParts = 16;

//! Maximum number of parts of one prompt that placement considers: the first
//! ones and the last. Each part is sought at each candidate.
inline constexpr std::size_t kMaxPlacedParts = 256;

//! The work that a request needs at an upstream.
struct Work
{
  //! In order, at most kMaxPlacedParts; the last part is not shared.
  std::vector<PromptPart> prompt;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; //!< upper limit of generated tokens

  bool IsGeneration() const { return promptTokens > 0; }
  //! Cost in tokens: prompt tokens count once, generated tokens twice.
  double Cost() const { return promptTokens + 2.0 * outputTokens; }
  //! Prompt tokens that no other request shares.
  std::uint32_t UnsharedTokens() const
  {
    return prompt.empty() ? promptTokens : prompt.back().tokens;
  }
  //! Parts of the prompt that other requests may share: all but the last, at
  //! most kMaxSharedParts.
  std::vector<quarantine::PromptPartId> SharedParts() const
  {
    std::vector<quarantine::PromptPartId> parts;
    for (std::size_t i = 0; i + 1 < prompt.size() && i < kMaxSharedParts; ++i) {
      parts.push_back(quarantine::PromptPartId(prompt[i].id));
    }
    return parts;
  }
  //! The last prompt part that other requests share, or the only part. The
  //! request is placed by its id. Null without prompt parts.
  const PromptPart* LastSharedPart() const
  {
    if (prompt.empty()) {
      return nullptr;
    }
    return prompt.size() >= 2 ? &prompt[prompt.size() - 2] : &prompt[0];
  }
};

//! Returns an id of one incarnation of an upstream. What is learned about the
//! upstream (speed, health, cached prefixes, running requests) is stored under
//! this id, here and in reports of other routers, so it ends with the
//! incarnation.
inline UpstreamId
UpstreamIdOf(std::string_view aId, std::optional<std::uint64_t> aStartedAt = {})
{
  const auto name = base::HashName(aId);
  if (!aStartedAt) {
    return UpstreamId(name);
  }
  const auto start = base::HashName(std::to_string(*aStartedAt));
  return UpstreamId(static_cast<std::uint32_t>(base::HashPair(name, start)));
}

inline UpstreamId
UpstreamIdOf(const UpstreamEntry& aEntry)
{
  return UpstreamIdOf(aEntry.id, aEntry.startedAt);
}

inline ServiceId
ServiceIdOf(std::string_view aName)
{
  return ServiceId(base::HashName(aName));
}

inline WorkspaceId
WorkspaceIdOf(std::string_view aName)
{
  return WorkspaceId(base::HashName(aName));
}

}
