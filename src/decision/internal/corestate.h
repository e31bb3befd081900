#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/configuration.h"
#include "decision/internal/fleetview.h"
#include "decision/internal/hosttable.h"
#include "decision/internal/membership.h"
#include "decision/internal/outbox.h"
#include "decision/internal/pool.h"
#include "decision/internal/requesttable.h"
#include "decision/internal/retrybudget.h"
#include "decision/internal/slotowner.h"
#include "quarantine/crashchecks.h"
#include "quarantine/quarantine.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace hemlockgauge::decision {

//! State shared by the flows of the core.
struct CoreState
{
  explicit CoreState(const CoreSettings& aSettings);

  Pool& PoolOf(PoolId aPool);
  //! Interval between heartbeats to a neighbour.
  Duration HeartbeatInterval() const;
  //! Interval between renewals of a lease.
  Duration RenewalInterval() const;
  //! Time without renewal after which a lease expires.
  Duration LeaseExpiry() const;
  //! Identical on routers with the same documents and hosts.
  std::uint32_t Digest() const;

  void AddAction(Action aAction) { actions.push_back(std::move(aAction)); }
  //! Adds a decision to the log.
  void Record(DecisionKind aKind, std::string aWhy);
  void RecordRequest(DecisionKind aKind,
                     RequestId aRequest,
                     const std::string& aWorkspace,
                     const std::string& aUpstream,
                     std::string aWhy);
  //! Checks an invariant of the program; a violation is counted and logged with
  //! aWhat.
  void CheckInvariant(bool aCondition, const std::string& aWhat);
  std::string NameOf(UpstreamId aUpstream) const;
  std::string NameOf(RouterId aRouter) const;

  CoreSettings settings;
  RouterId self;
  TimePoint now{};
  std::vector<Action> actions;
  ControlCounters counters;
  Membership membership;
  HostTable hosts;
  Configuration configuration;
  FleetView fleetView;
  std::map<PoolId, Pool> pools;
  SlotOwner slotOwner;
  RequestTable requests;
  RetryBudget retryBudget;
  quarantine::CrashChecks crashChecks;
  quarantine::Quarantine quarantine;
  Outbox outbox;
  std::mt19937_64 random;
  bool draining = false;
  bool poolsStale = true;
  //! Set after a pause of the process: no request is sent to an upstream until
  //! a peer was heard from.
  bool holdUntilFresh = false;
};

}
