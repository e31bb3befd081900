#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/fleetview.h"

#include <map>

namespace hemlockgauge::decision {

//! How far each workspace's service over the fleet is behind its share,
//! counted only while it is backlogged: idleness earns nothing.
class LagTracker
{
public:
  //! aEntitled and aCapacity in slots; aTotal from the fleet view.
  void Observe(WorkspaceId aWorkspace,
               const Demand& aTotal,
               double aEntitled,
               double aCapacity,
               bool aBacklogged,
               TimePoint aNow);
  //! Takes over what another summed up; goes on from there if we have to.
  void Adopt(WorkspaceId aWorkspace, double aSecondsBehind);
  //! Takes off what all have in common, weighted by their parts: only the
  //! differences between workspaces count.
  void Centre(const std::map<WorkspaceId, double>& aEntitled);
  //! Seconds of its share; above 0 is behind.
  double SecondsBehind(WorkspaceId aWorkspace) const;

private:
  struct Record
  {
    bool backlogged = false;
    bool counting = false; //!< from the first news since it is backlogged
    TimePoint since{};
    std::uint32_t served = 0;
    TimePoint at{};
    TimePoint entitledAt{};
    double entitledSlotMs = 0; //!< since the last news
    double secondsBehind = 0;
  };
  static void CountStep(Record& aRecord,
                        const Demand& aTotal,
                        double aCapacity);

  std::map<WorkspaceId, Record> m_records;
};

}
