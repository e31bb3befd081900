#pragma once

#include "fleet/fairshare.h"
#include "fleet/fleettypes.h"

#include <map>

namespace hemlockgauge::fleet {

//! Keeps the engines' unread backlog short when more is asked than can be
//! read. What routers know of each other is some hundred ms old; in that
//! time a flood of a few thousand requests a second fills every engine for
//! half a second, however carefully each router looks at what it knows. So
//! the rate is held, not only the wait foreseen: no workspace is begun more
//! than the level, in tokens a second, the same for all (max-min). The level
//! follows the backlog of the whole fleet, and never falls below what every
//! workspace is owed.
class LevelControl
{
public:
  LevelControl();

  //! aBacklogMs: time that all engines need for what is unread, on average.
  //! aOwed: what each workspace is owed at least; infinite: no limit at all.
  void Update(double aBacklogMs, double aOwed, const WorkspaceRates& aFleet);
  //! Whether one more request of the workspace may be begun. Over many
  //! requests the part that passes is the level against what is asked.
  bool Pass(WorkspaceId aWorkspace);
  double Level() const { return m_level; }
  //! The part of what the workspace asks that passes, 0 to 1.
  double PartOf(WorkspaceId aWorkspace) const;

private:
  double m_level;
  std::map<WorkspaceId, double> m_asked;
  std::map<WorkspaceId, double> m_credit;
};

}
