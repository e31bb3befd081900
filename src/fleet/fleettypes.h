#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/callerlimits.h"
#include "base/enumnames.h"
#include "base/hash.h"
#include "base/verdict.h"
#include "quarantine/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

//! What the decisions about requests work on: the configuration in force,
//! the upstreams, and what a request asks for.
namespace hemlockgauge::fleet {

using base::Duration;
using base::ServiceId;
using base::TimePoint;
using base::UpstreamId;
using base::WorkspaceId;
using quarantine::RequestFingerprint;

//! What may happen to a request more than once.
enum class CallKind : std::uint8_t
{
  Idempotent, //!< may run any number of times
  AtMostOnce, //!< may run once
  Stream      //!< a series of events; may run once unless it is resumable
};
inline constexpr auto kCallKindNames =
  base::MakeEnumNames<CallKind>("idempotent", "at-most-once", "stream");

//! A part of a route's requests that goes to one service.
struct ServiceWeight
{
  std::string service;
  std::uint32_t weight = 1;
};

struct Route
{
  std::string name;
  std::string host;
  std::string prefix; //!< begins and ends with a slash
  CallKind kind = CallKind::AtMostOnce;
  Duration timeout{ 30000 }; //!< a request has its final answer by then
  Duration target{ 1000 };   //!< first answer in time, from its arrival
  std::uint32_t maxAttempts = 1;
  bool isPublic = false;  //!< needs no key
  bool resumable = false; //!< a stream may go on at another upstream
  std::vector<ServiceWeight> split;
  //! Where its requests may run; empty: anywhere.
  std::vector<std::string> allowedRegions;

  bool MayRunAgain() const
  {
    return kind == CallKind::Idempotent ||
           (kind == CallKind::Stream && resumable);
  }
};

struct Service
{
  std::string name;
  std::uint32_t engineSlots = 0; //!< 0: not a model engine
  //! What an engine's memory holds, running requests and kept prompts
  //! together. 0: not said.
  double memoryTokens = 0;
  double bytesPerToken = 0; //!< of that memory; 0: not said
  //! Of the links over which engines copy it from each other, in Mbit/s; 0:
  //! there are none.
  double copyMbps = 0;

  //! Requests a second that a cold upstream bears from all routers together;
  //! 0: not said.
  double coldPerSecond = 0;

  bool IsEngine() const { return engineSlots > 0; }
  bool CanCopy() const { return copyMbps > 0 && bytesPerToken > 0; }
};

//! One version of the configuration; never changed once built.
struct FleetConfig
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  base::CallerLimits limits;
  //! What all engines together are said to do: tokens read once, tokens
  //! generated twice. 0: not said.
  double tokensPerSecond = 0;
  bool needsKeys = false;
  std::unordered_map<std::string, std::string> workspaceOfKey;
  //! Where requests of a workspace may run; one that isn't named: anywhere.
  std::unordered_map<std::string, std::vector<std::string>> regionsOfWorkspace;
};

using ConfigPtr = std::shared_ptr<const FleetConfig>;

//! One upstream as the platform lists it.
struct UpstreamEntry
{
  std::string id; //!< may outlast a restart of the upstream
  //! Unix time of the upstream's start, in ms; nothing if it isn't told.
  std::optional<std::uint64_t> startedAt;
  //! False where the entry can't be read or says what an upstream never says:
  //! then only its id is known, and nothing is sent there.
  bool usable = true;
  std::string service;
  base::Address address;
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration coldFor{}; //!< how much longer it is cold, when this was written

  bool operator==(const UpstreamEntry&) const = default;
};

//! One part of a prompt; the same id stands for the same tokens.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

//! What a request asks of an upstream.
struct Work
{
  std::vector<PromptPart> prompt; //!< in order; the last part is its own
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0; //!< the most it may generate

  bool IsGeneration() const { return promptTokens > 0; }
  //! In the unit of FleetConfig::tokensPerSecond.
  double Cost() const { return promptTokens + 2.0 * outputTokens; }
  //! Tokens that no other request shares.
  std::uint32_t OwnTokens() const
  {
    return prompt.empty() ? promptTokens : prompt.back().tokens;
  }
  //! The part that other requests share with it, by which it is placed.
  const PromptPart* LastShared() const
  {
    if (prompt.empty()) {
      return nullptr;
    }
    return prompt.size() >= 2 ? &prompt[prompt.size() - 2] : &prompt[0];
  }
};

//! Names one incarnation of an upstream: whatever is learned about it under
//! this id (its speed, its health, what it holds, what runs there) ends with
//! it, here and in what other routers tell.
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
