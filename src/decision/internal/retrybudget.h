#pragma once

namespace hemlockgauge::decision {

//! Limits retries to a ratio of first attempts. Each router applies the limit
//! to its own requests, so it also holds for the whole fleet.
class RetryBudget
{
public:
  void CountFirstAttempt();
  //! Consumes one retry of the budget; returns false if there is none.
  bool Take();

private:
  double m_tokens = 3.0;
};

}
