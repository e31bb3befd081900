#include "fleet/prefillqueue.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! The highest fraction of a prompt that counts as prefilled before its first
//! token arrives.
constexpr double kMaxPrefilledRatio = 0.9;
//! A first token is overdue after kOverdueFactor times the predicted time plus
//! kOverdueMs, which covers the prediction errors for healthy engines.
constexpr double kOverdueFactor = 1.5;
constexpr double kOverdueMs = 50.0;

}

double
PrefillQueue::Prefill::TokensLeft(double aNow) const
{
  if (aNow >= overdueAt || aNow <= startsAt) {
    return tokens;
  }
  const double prefilledRatio =
    std::min((aNow - startsAt) / durationMs, kMaxPrefilledRatio);
  return tokens * (1.0 - prefilledRatio);
}

void
PrefillQueue::Add(std::uint64_t aAttempt,
                  double aTokens,
                  double aAheadMs,
                  double aPrefillMs,
                  TimePoint aNow,
                  double aFixedMs)
{
  if (aTokens <= 0 || aPrefillMs <= 0) {
    return;
  }
  const auto now = static_cast<double>(aNow.count());
  m_prefills.push_back(
    { aAttempt,
      aTokens,
      now + aAheadMs,
      aPrefillMs,
      now + kOverdueFactor * (aAheadMs + aPrefillMs + aFixedMs) + kOverdueMs });
}

void
PrefillQueue::Remove(std::uint64_t aAttempt)
{
  std::erase_if(m_prefills, [&](const Prefill& aPrefill) {
    return aPrefill.attempt == aAttempt;
  });
}

double
PrefillQueue::UnreadTokens(TimePoint aNow) const
{
  double unread = 0;
  for (const auto& prefill : m_prefills) {
    unread += prefill.TokensLeft(static_cast<double>(aNow.count()));
  }
  return unread;
}

}
