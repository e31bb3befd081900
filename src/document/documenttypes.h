#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/enumnames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockgauge::document {

enum class UpstreamKind
{
  ModelEngine, //!< streams tokens, can resume and cancel
  Plain        //!< one request, one answer
};

inline constexpr auto kUpstreamKindNames =
  base::MakeEnumNames<UpstreamKind>("model-engine", "plain");

//! One workspace of a service: its share, its limits and its keys.
struct Workspace
{
  std::string name;
  base::WorkspaceId id{};
  double share = 1.0;
  std::uint32_t maxRequestsPerSecond = 0; //!< 0: no limit
  std::uint32_t maxQueued = 1000;         //!< across the fleet
  std::uint32_t maxInFlight = 0;          //!< across the fleet; 0: no limit
  std::vector<std::string> keySha256;     //!< lower-case hexadecimal
};

//! A service as its owning team describes it.
struct ServiceDocument
{
  std::string name;
  std::string pathPrefix;
  std::string poolName;
  base::PoolId pool{};
  UpstreamKind kind = UpstreamKind::ModelEngine;
  std::uint32_t concurrency = 8; //!< slots on each upstream of the pool
  base::Duration deadline{ 30000 };
  base::Duration stallLimit{ 2000 };
  //! 0 to 100: how far the fairness gap goes before utilisation.
  std::uint32_t fairnessWeight = 50;
  std::vector<std::string> repeatablePaths;
  std::vector<Workspace> workspaces;
};

enum class PolicyKind
{
  Entitlement, //!< shares across the fleet, slots by lease
  EqualPart,   //!< baseline: each router alone with an equal part
  LeastLoaded  //!< baseline: reported load, local fair queues
};

inline constexpr auto kPolicyKindNames =
  base::MakeEnumNames<PolicyKind>("entitlement", "equal-part", "least-loaded");

//! What a router learns from its own settings.
struct RouterSettings
{
  std::string id;
  std::string zone;
  base::Address listen;      //!< for callers
  base::Address peerListen;  //!< for other routers
  base::Address adminListen; //!< for operators
  base::Address platform;
  std::vector<base::Address> seeds;
  std::uint32_t trafficThreads = 2;
  std::uint32_t maxConnections = 4096;
  std::uint32_t maxBodyBytes = 1 << 20;
  base::Duration callerTimeout{ 10000 };
  base::Duration drainNotice{ 1000 };
  base::Duration stopLimit{ 30000 };
  PolicyKind policy = PolicyKind::Entitlement;
  std::string logLevel = "info";
};

}
