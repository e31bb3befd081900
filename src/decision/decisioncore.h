#pragma once

#include "decision/decisiontypes.h"

#include <memory>
#include <vector>

namespace hemlockgauge::decision {

class CoreParts;

//! Makes all decisions of one router as a state machine without threads,
//! sockets, clock or files: the caller passes in events with the current time
//! and carries out the returned actions.
class DecisionCore
{
public:
  explicit DecisionCore(const CoreSettings& aSettings);
  ~DecisionCore();
  DecisionCore(const DecisionCore&) = delete;
  DecisionCore& operator=(const DecisionCore&) = delete;

  //! Handles one event and returns the actions to carry out, in that order.
  //! aNow must not be earlier than in the previous call.
  std::vector<Action> Step(TimePoint aNow, const Event& aEvent);

  CoreStatus Status() const;

private:
  std::unique_ptr<CoreParts> m_parts;
};

//! Estimates the bytes that a frame takes on the network, with the TCP and IP
//! headers.
std::size_t
EstimateFrameBytes(const Frame& aFrame);

}
