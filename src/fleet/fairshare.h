#pragma once

#include "fleet/fleettypes.h"

#include <map>

namespace hemlockgauge::fleet {

//! What a workspace asks and what was begun for it, in tokens a second.
struct WorkspaceRate
{
  double asked = 0;
  double begun = 0;
};

using WorkspaceRates = std::map<WorkspaceId, WorkspaceRate>;

//! Splits aCapacity by max-min over what is asked: who asks less than an
//! even part gets all it asks, the others the same part of what is left.
//! Returns that part: the most any workspace gets.
double
MaxMinLevel(const WorkspaceRates& aRates, double aCapacity);

//! Meters what the workspaces ask and get at this router, with a memory of
//! kShareMemory.
class DemandMeter
{
public:
  void Asked(WorkspaceId aWorkspace, double aCost, TimePoint aNow);
  //! aUnread: prompt tokens that the upstream has to read for it.
  void Begun(WorkspaceId aWorkspace,
             double aCost,
             double aUnread,
             TimePoint aNow);
  //! Rates as of aNow; entries that have faded away are dropped.
  const WorkspaceRates& Rates(TimePoint aNow);
  //! Tokens a second that have to be read for what was begun, as of the last
  //! call of the others.
  double Reading() const { return m_reading; }

private:
  void Decay(TimePoint aNow);

  TimePoint m_decayedAt{};
  WorkspaceRates m_rates;
  double m_reading = 0;
};

}
