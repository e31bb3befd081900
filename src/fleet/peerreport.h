#pragma once

#include "fleet/callrates.h"
#include "fleet/fairshare.h"
#include "fleet/fleettypes.h"
#include "quarantine/quarantinetypes.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace hemlockgauge::fleet {

//! Requests in progress at one upstream.
struct UpstreamLoad
{
  UpstreamId upstream{};
  std::uint32_t unreadTokens = 0; //!< prompt tokens that are not processed yet
  std::uint32_t running = 0;      //!< requests whose response is incomplete
};

//! A part of a prompt that was recently sent to an upstream.
struct PrefixUse
{
  std::uint64_t part = 0;
  UpstreamId upstream{};

  bool operator==(const PrefixUse&) const = default;
  bool operator<(const PrefixUse& aOther) const
  {
    return std::tie(part, upstream) < std::tie(aOther.part, aOther.upstream);
  }
};

//! Call rate of a plain service.
struct ServiceReport
{
  ServiceId service{};
  CallRate rate;
};

//! Request rates of a workspace.
struct WorkspaceReport
{
  WorkspaceId workspace{};
  WorkspaceRate rate;
};

//! Acknowledges the last report that the sender received from a router. That
//! router uses sentAt to bound the age of what the sender reports, and sequence
//! to subtract its own part from a sum.
struct HeardRouter
{
  base::RouterId router{};
  std::uint64_t sequence = 0;
  TimePoint sentAt{}; //!< of that report, by the clock of that router
};

//! Entry of the member list that routers exchange.
struct MemberListEntry
{
  base::Address address;  //!< that accepts reports
  std::uint32_t zone = 0; //!< hash of its availability zone's name
  Duration age{};         //!< time since any router heard it directly
};

//! The routers that a report's loads and rates cover.
enum class ReportScope : std::uint8_t
{
  Router, //!< the sender alone
  Group,  //!< sum of the sender's group
  Fleet,  //!< sum of all routers
  Zone    //!< sum of the sender's availability zone
};

inline constexpr auto kReportScopeNames =
  base::MakeEnumNames<ReportScope>("router", "group", "fleet", "zone");

//! Datagram that routers send to each other every kReportInterval. A lost
//! report is not sent again, since the next one holds newer values.
struct PeerReport
{
  std::string router; //!< name of the sender
  std::uint64_t incarnation =
    0; //!< incarnation: higher at each start of the router
  std::uint64_t sequence = 0; //!< number of the report within the incarnation
  TimePoint sentAt{};         //!< by the sender's clock; others only echo it
  ReportScope scope = ReportScope::Router;
  std::uint32_t zone = 0;        //!< hash of the name of the sender's zone
  std::uint64_t group = 0;       //!< id of the sender's group
  std::uint32_t routerCount = 1; //!< number of routers that the report covers
  std::uint32_t busyRouters =
    0; //!< how many of them are busy, see kBusyThreshold
  double prefillDemand =
    0;                //!< prompt tokens/s to process for admitted requests
  Duration loadAge{}; //!< mean age of the loads
  std::uint64_t configVersion = 0;
  Duration configAge{}; //!< time since it was confirmed to be the newest
  //! The reader of the store with the newest proof that the sender knows of,
  //! and the age of that proof. Port 0: none.
  base::Address reader;
  Duration readerAge{};
  //! The store's era if it began recently, else 0. See StoreEra.
  std::uint64_t storeEra = 0;
  Duration storeEraAge{};
  bool relayed = false; //!< forwarded within a zone, not sent by its author
  //! The sender knows few or no members and asks for the member list.
  bool wantsMembers = false;
  //! The last report of each router that the sender receives reports from.
  std::vector<HeardRouter> heard;
  std::vector<UpstreamLoad> loads;
  std::vector<WorkspaceReport> rates;
  std::vector<ServiceReport> calls;
  std::vector<PrefixUse> prefixUses;
  quarantine::CrashUpdates crashUpdates;
  std::vector<MemberListEntry> members; //!< empty in most reports
};

}
