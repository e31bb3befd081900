#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/configuration.h"
#include "decision/internal/fleetview.h"
#include "decision/internal/hosttable.h"
#include "decision/internal/membership.h"
#include "decision/internal/outbox.h"
#include "decision/internal/pool.h"
#include "decision/internal/requestbook.h"
#include "decision/internal/retrybudget.h"
#include "decision/internal/slotowner.h"
#include "quarantine/crashchecks.h"
#include "quarantine/quarantine.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace hemlockgauge::decision {

//! What the flows of the core share.
struct CoreState
{
  explicit CoreState(const CoreSettings& aSettings);

  Pool& PoolOf(PoolId aPool);
  Duration Round() const;
  Duration LeaseRound() const;
  Duration LeaseExpiry() const;
  std::uint32_t Digest() const;

  void Act(Action aAction) { actions.push_back(std::move(aAction)); }
  void Note(DecisionKind aKind, std::string aWhy);
  void NoteRequest(DecisionKind aKind,
                   RequestId aRequest,
                   const std::string& aWorkspace,
                   const std::string& aUpstream,
                   std::string aWhy);
  //! An invariant that the program asserts of itself.
  void Expect(bool aHolds, const std::string& aWhat);
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
  FleetView view;
  std::map<PoolId, Pool> pools;
  SlotOwner owner;
  RequestBook book;
  RetryBudget retries;
  quarantine::CrashChecks crashChecks;
  quarantine::Quarantine quarantine;
  Outbox outbox;
  std::mt19937_64 random;
  bool draining = false;
  bool poolsStale = true;
  //! After a pause nothing is sent until the view is known to be fresh.
  bool holdUntilFresh = false;
};

}
