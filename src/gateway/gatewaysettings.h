#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::gateway {

//! What a gateway learns from its own settings file (INI).
struct GatewaySettings
{
  std::string id;
  std::string zone;
  base::Address callersListen;      //!< for callers
  base::Address probeListen;        //!< readiness, metrics, status
  base::Address controlListen;      //!< other routers, over TCP
  base::Address peerListen;         //!< other routers, datagrams
  base::Address store;              //!< the platform's store
  std::vector<base::Address> seeds; //!< other routers' control addresses
  //! How long a router that starts waits for a seed's news before it turns to
  //! the store. Longer where the whole system starts for the first time, for
  //! then no caller waits, and the seeds may start after the others.
  base::Duration seedWait = fleet::kStartPatience;
  //! Within which a withdrawn key must have stopped working; 0: no bound.
  base::Duration revocationBound{};
  //! How often upstreams renew their entries in the store.
  base::Duration heartbeat{ 1200 };
  //! Between the request to stop and the kill.
  base::Duration grace{ 8000 };
  //! Of a core, that this process gets.
  double processorShare = 1;
  double retryRatio = 0.2;
  double retrySlack = 20;
  base::Duration retryWindow{ 10000 };
  fleet::ColdLimit coldLimit;
  //! Region by availability zone.
  std::map<std::string, std::string> regionOfZone;
  fleet::PlacementKind placement = fleet::PlacementKind::PrefixAffinity;
  std::string logLevel = "info";
  //! Requests a second that have their lines in the log; the rest is only
  //! counted. Twice what a router on a quarter of a core serves when calm.
  double loggedPerSecond = 100;
};

//! The settings name the seeds' control addresses; reports go to the same
//! port at all routers.
std::vector<base::Address>
SeedsOf(const GatewaySettings& aSettings);

//! Throws Error naming file, line, key and what was expected.
GatewaySettings
ParseGatewaySettings(const std::string& aFile, std::string_view aText);

//! The same from the file itself; Error(Unreachable) if it can't be read.
GatewaySettings
ReadGatewaySettings(const std::string& aFile);

}
