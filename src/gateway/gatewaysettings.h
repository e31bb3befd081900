#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/enumnames.h"
#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"
#include "fleet/waitingqueue.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::gateway {

//! Whether an optional part is in use.
enum class Switch : std::uint8_t
{
  Off,
  On
};
inline constexpr auto kSwitchNames = base::MakeEnumNames<Switch>("off", "on");

//! Memory limit of a router whose settings give none: below that of the
//! smallest hosts.
inline constexpr std::size_t kDefaultMemoryLimit = std::size_t{ 100 } << 20U;
//! File descriptors of a router whose settings give none.
inline constexpr std::size_t kDefaultMaxDescriptors = 4100;

//! Settings of a gateway, read from its INI file.
struct GatewaySettings
{
  std::string id;
  std::string zone;
  base::Address callersListen; //!< HTTP for callers
  base::Address probeListen;   //!< HTTP for readiness, metrics and status
  base::Address controlListen; //!< TCP for store updates to other routers
  base::Address peerListen;    //!< UDP for reports between routers
  base::Address store;         //!< the platform's store
  std::vector<base::Address>
    seeds; //!< control addresses of routers to contact first
  //! How long a starting router waits for the store's content from a seed
  //! before it reads the store itself. Longer at the first start of the whole
  //! system: no caller waits then, and seeds may start after the other routers.
  base::Duration seedWait = fleet::kDefaultSeedWait;
  //! Time within which a withdrawn API key must stop working; 0 if unbounded.
  base::Duration revocationBound{};
  //! Interval at which upstreams renew their entries in the store.
  base::Duration upstreamHeartbeatInterval{ 1200 };
  //! Time from the request to stop until the process is killed.
  base::Duration stopGracePeriod{ 8000 };
  //! CPU cores available to this process; may be a fraction.
  double processorShare = 1;
  //! Memory that the process may use, in bytes. It buffers at most a part of
  //! it.
  std::size_t memoryLimit = kDefaultMemoryLimit;
  //! File descriptors that the process may have open.
  std::size_t maxDescriptors = kDefaultMaxDescriptors;
  double retryRatio = 0.2; //!< of the fleet, per request in retryWindow
  double retrySlack = 20;  //!< retries of the fleet beyond the ratio
  base::Duration retryWindow{ 10000 };
  fleet::ColdLimit coldLimit;
  //! Limits of the requests that wait for an upstream. A workspace may use a
  //! quarter of each, so limits below 4 let no request wait.
  fleet::WaitingLimits waiting;
  Switch usesStatedLoads = Switch::Off; //!< see fleet::StatedLoads
  Switch spreadsRetries = Switch::Off;  //!< see fleet::ReturnSchedule
  //! Region of each availability zone.
  std::map<std::string, std::string> regionOfZone;
  fleet::PlacementKind placement = fleet::PlacementKind::PrefixAffinity;
  std::string logLevel = "info";
  //! Requests per second that are logged; others are only counted. The default
  //! is twice the normal load of a router on a quarter of a core.
  double loggedPerSecond = 100;
};

//! Returns the addresses at which the seeds receive reports. The settings hold
//! their control addresses; the report port is the same at all routers.
std::vector<base::Address>
SeedPeerAddresses(const GatewaySettings& aSettings);

//! Parses the text of a settings file. Throws Error with the file, line, key
//! and expected value.
GatewaySettings
ParseGatewaySettings(const std::string& aFile, std::string_view aText);

//! Reads and parses a settings file. Throws Error(Unreachable) if it can't be
//! read.
GatewaySettings
ReadGatewaySettings(const std::string& aFile);

}
