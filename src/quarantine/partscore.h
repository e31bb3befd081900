#pragma once

#include "base/basetypes.h"

#include <vector>

namespace hemlockgauge::quarantine {

//! Weighs the crashes of upstreams that ran requests with a prompt part against
//! the answers to such requests. In the order of their times, a crash adds one,
//! an answer subtracts kAnswerWeight, and the sum stays between kMinPartScore
//! and kMaxPartScore. Neither vector has to be sorted.
int
PartScore(std::vector<base::TimePoint> aCrashes,
          std::vector<base::TimePoint> aAnswers);

}
