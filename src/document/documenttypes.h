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
  ModelEngine, //!< streams tokens; supports resuming and cancelling
  Plain        //!< one response per request, no stream
};

inline constexpr auto kUpstreamKindNames =
  base::MakeEnumNames<UpstreamKind>("model-engine", "plain");

//! A workspace of a service: its share, limits and key hashes.
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

//! Service document: the configuration of a service by its owning team.
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
  //! Weight, 0 to 100, of a small fairness gap against high utilisation.
  std::uint32_t fairnessWeight = 50;
  std::vector<std::string> repeatablePaths;
  std::vector<Workspace> workspaces;
};

enum class PolicyKind
{
  Entitlement, //!< fleet-wide shares, slots granted by lease
  EqualPart,   //!< baseline: each router uses an equal part, no coordination
  LeastLoaded  //!< baseline: least reported load, fair queues per router
};

inline constexpr auto kPolicyKindNames =
  base::MakeEnumNames<PolicyKind>("entitlement", "equal-part", "least-loaded");

//! Settings of one router, read from its settings file.
struct RouterSettings
{
  std::string id;
  std::string zone;
  base::Address listen;      //!< for connections of callers
  base::Address peerListen;  //!< for connections of other routers
  base::Address adminListen; //!< for operators' status and metrics pages
  base::Address platform;
  std::vector<base::Address> seeds;
  std::uint32_t trafficThreads = 2;
  std::uint32_t maxConnections = 4096;
  std::uint32_t maxBodyBytes = 1 << 20;
  //! Bytes that all requests and their answers may hold together.
  std::size_t maxBufferedBytes = std::size_t{ 64 } << 20U;
  base::Duration callerTimeout{ 10000 };
  base::Duration drainNotice{ 1000 };
  base::Duration stopTimeout{ 30000 };
  PolicyKind policy = PolicyKind::Entitlement;
  std::string logLevel = "info";
};

}
