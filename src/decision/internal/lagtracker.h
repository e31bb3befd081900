#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/fleetview.h"

#include <map>

namespace hemlockgauge::decision {

//! Computes how far the service of each workspace over the fleet lags behind
//! its share. Counted only while the workspace is backlogged, so that an idle
//! one accumulates no credit.
class LagTracker
{
public:
  //! Updates the lag of a workspace. aTotal is the total of the fleet view,
  //! aEntitled and aCapacity are in slots.
  void Observe(WorkspaceId aWorkspace,
               const Demand& aTotal,
               double aEntitled,
               double aCapacity,
               bool aBacklogged,
               TimePoint aNow);
  //! Sets the lag that the root has computed; if this router becomes the root,
  //! it continues from this value.
  void Adopt(WorkspaceId aWorkspace, double aLagSeconds);
  //! Subtracts the mean lag, weighted by entitlement, from all workspaces: only
  //! the differences between workspaces matter.
  void SubtractMean(const std::map<WorkspaceId, double>& aEntitled);
  //! Returns the lag in seconds of service at its share; positive is behind.
  double LagSeconds(WorkspaceId aWorkspace) const;

private:
  struct Record
  {
    bool backlogged = false;
    bool hasTotal = false;       //!< a total arrived since it became backlogged
    TimePoint backloggedSince{}; //!< start of the backlog
    std::uint32_t served = 0;
    TimePoint updatedAt{};     //!< time of the last total
    TimePoint entitledUntil{}; //!< end of the time in entitledSlotMs
    double entitledSlotMs = 0; //!< entitlement times time since the last total
    double lagSeconds = 0;
  };
  static void AddStep(Record& aRecord, const Demand& aTotal, double aCapacity);

  std::map<WorkspaceId, Record> m_records;
};

}
