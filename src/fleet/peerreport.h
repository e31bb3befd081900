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

//! What is in progress at an upstream.
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

  bool operator==(const PrefixUse&) const = default;
  bool operator<(const PrefixUse& aOther) const
  {
    return std::tie(part, upstream) < std::tie(aOther.part, aOther.upstream);
  }
};

struct ServiceReport
{
  ServiceId service{};
  CallRate rate;
};

struct WorkspaceReport
{
  WorkspaceId workspace{};
  WorkspaceRate rate;
};

//! The last report that was heard from a router. The clock value lets it
//! bound the age of what it is told; the sequence lets it take its own part
//! out of a sum.
struct HeardRouter
{
  base::RouterId router{};
  std::uint64_t sequence = 0;
  TimePoint sentAt{}; //!< by the clock of that router
};

//! A router as others know it.
struct KnownMember
{
  base::Address address;  //!< for reports
  std::uint32_t zone = 0; //!< hash of its availability zone's name
  Duration age{};         //!< since it was heard by someone
};

//! Whose loads and rates a report holds.
enum class ReportScope : std::uint8_t
{
  Router, //!< the sender's own
  Group,  //!< the sum of the sender's group
  Fleet,  //!< the sum of all
  Zone    //!< the sum of the sender's availability zone
};

inline constexpr auto kReportScopeNames =
  base::MakeEnumNames<ReportScope>("router", "group", "fleet", "zone");

//! What routers tell each other, each kReportPeriod. It may get lost; the
//! next one says it anew.
struct PeerReport
{
  std::string router;
  std::uint64_t life = 0; //!< higher at each start of the router
  std::uint64_t sequence = 0;
  TimePoint sentAt{}; //!< by the sender's clock, to be sent back only
  ReportScope scope = ReportScope::Router;
  std::uint32_t zone = 0;    //!< hash of the sender's availability zone
  std::uint64_t group = 0;   //!< the sender's group
  std::uint32_t routers = 1; //!< how many it sums up
  std::uint32_t busy = 0;    //!< how many of them have no rest
  double reading = 0;        //!< tokens a second to be read for what was begun
  Duration loadAge{};        //!< of the loads in it, in the mean
  std::uint64_t configVersion = 0;
  Duration configAge{}; //!< since the version was proven the newest
  //! The freshest reader of the store that the sender knows of, and since when
  //! what that one tells is proven; port 0: none.
  base::Address reader;
  Duration readerAge{};
  //! See StoreEra; 0: none began lately.
  std::uint64_t storeEra = 0;
  Duration storeEraAge{};
  bool relayed = false; //!< passed on within a zone, not sent by its router
  bool wantsMembers = false; //!< the sender knows hardly anyone
  std::vector<HeardRouter> heard;
  std::vector<UpstreamLoad> loads;
  std::vector<WorkspaceReport> rates;
  std::vector<ServiceReport> calls;
  std::vector<PrefixUse> uses;
  quarantine::CrashNews crashNews;
  std::vector<KnownMember> members; //!< now and then
};

}
