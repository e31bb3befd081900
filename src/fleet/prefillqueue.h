#pragma once

#include "fleet/fleettypes.h"

#include <vector>

namespace hemlockgauge::fleet {

//! The prompts from this router whose prefill at an engine is not finished,
//! with an estimate of the tokens left. This matters for prompts of tens of
//! thousands of tokens among short ones: if a prompt counts as a whole until
//! its first token, an engine that has nearly finished it looks twice as busy
//! as it is (median predicted latency of long prompts 421 ms, measured 210 ms).
class PrefillQueue
{
public:
  //! Adds a prompt of aTokens that was sent to the engine. aAheadMs: predicted
  //! time until its prefill starts; aPrefillMs: predicted duration of the
  //! prefill; aFixedMs: predicted time from its end to the first token.
  void Add(std::uint64_t aAttempt,
           double aTokens,
           double aAheadMs,
           double aPrefillMs,
           TimePoint aNow,
           double aFixedMs = 0);
  //! Removes a prompt whose first token arrived or whose attempt ended.
  void Remove(std::uint64_t aAttempt);
  //! Estimated tokens whose prefill is not finished. A prompt that is overdue
  //! counts as a whole again: the engine is slower than predicted.
  double UnreadTokens(TimePoint aNow) const;

private:
  struct Prefill
  {
    std::uint64_t attempt = 0;
    double tokens = 0;
    double startsAt = 0; //!< predicted start of prefill, in ms of TimePoint
    double durationMs = 0;
    double overdueAt = 0; //!< in ms of TimePoint

    //! Estimated tokens left at aNow, in ms of TimePoint.
    double TokensLeft(double aNow) const;
  };

  std::vector<Prefill> m_prefills;
};

}
