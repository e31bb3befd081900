#pragma once

namespace hemlockgauge::decision {

//! Lets retries be only a part of first attempts. Each router keeps to its
//! own part, so the fleet as a whole does too.
class RetryBudget
{
public:
  void CountFirstAttempt();
  //! Takes one retry out of the budget if there is one.
  bool Take();

private:
  double m_tokens = 3.0;
};

}
