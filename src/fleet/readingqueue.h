#pragma once

#include "fleet/fleettypes.h"

#include <vector>

namespace hemlockgauge::fleet {

//! The prompts that an engine still reads for this router, and how much of
//! them is left. Answers the load "prompts of tens of thousands of tokens
//! among short ones": counted whole until its first token came, a prompt
//! that is nearly read made its engine look twice as busy as it was (foreseen
//! 421 ms where 210 came, medians of a day's long prompts in logs).
class ReadingQueue
{
public:
  //! aAheadMs: until its reading begins; aReadMs: how long it takes then.
  void Sent(std::uint64_t aAttempt,
            double aTokens,
            double aAheadMs,
            double aReadMs,
            TimePoint aNow);
  //! Its first token came, or it has ended.
  void Done(std::uint64_t aAttempt);
  //! Tokens that are not read yet. A prompt that should be read and is not
  //! counts whole again: the engine is slower than was believed.
  double Unread(TimePoint aNow) const;

private:
  struct Reading
  {
    std::uint64_t attempt = 0;
    double tokens = 0;
    double beginsAt = 0; //!< ms, as TimePoint counts
    double readMs = 0;
    double overdueAt = 0;

    double Left(double aNow) const;
  };

  std::vector<Reading> m_readings;
};

}
