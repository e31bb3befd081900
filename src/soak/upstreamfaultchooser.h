#pragma once

#include "soak/soakplan.h"
#include "standins/upstreamstandin.h"

#include <cstddef>
#include <string>

namespace hemlockgauge::soak {

//! An upstream that a request has reached.
struct FaultTarget
{
  std::string id;
  bool isEngine = false;
  bool asksForPauses = false;
  bool spoilsAll = false;
  bool mayCrash = false;
};

//! The fault of one run.
struct ChosenFault
{
  standins::UpstreamFault fault = standins::UpstreamFault::None;
  standins::Spoil spoil;
  std::size_t cut = 0; //!< bytes sent; of CutShort
};

//! Chooses the faults of upstreams by the run's seed and the request.
class UpstreamFaultChooser
{
public:
  explicit UpstreamFaultChooser(const SoakSettings& aSettings)
    : m_settings(aSettings)
  {
  }

  //! aSinceStart: time since the start of traffic.
  ChosenFault Choose(const FaultTarget& aTarget,
                     const standins::UpstreamRun& aRun,
                     base::Duration aSinceStart) const;

private:
  const SoakSettings& m_settings;
};

}
