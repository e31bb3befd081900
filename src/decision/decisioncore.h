#pragma once

#include "decision/decisiontypes.h"

#include <memory>
#include <vector>

namespace hemlockgauge::decision {

class CoreParts;

//! All decisions of one router, as a step function: no thread, socket,
//! clock or file. Feed it events with the time, carry out its actions.
class DecisionCore
{
public:
  explicit DecisionCore(const CoreSettings& aSettings);
  ~DecisionCore();
  DecisionCore(const DecisionCore&) = delete;
  DecisionCore& operator=(const DecisionCore&) = delete;

  //! aNow never goes back. Actions stand in the order to carry them out.
  std::vector<Action> Step(TimePoint aNow, const Event& aEvent);

  CoreStatus Status() const;

private:
  std::unique_ptr<CoreParts> m_parts;
};

//! Bytes that a frame takes on the network, headers of TCP and IP included.
std::size_t
EstimateFrameBytes(const Frame& aFrame);

}
