#include "fleet/upstreamsignals.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Whether aStart is a later start of an upstream than aKnown. An entry without
//! a start time proves no restart.
bool
IsLaterStart(std::optional<std::uint64_t> aStart,
             std::optional<std::uint64_t> aKnown)
{
  return aStart > aKnown; // empty is less than any value
}

}

UpstreamSignals::Statements*
UpstreamSignals::StatementsOf(const UpstreamEntry& aEntry, TimePoint aNow)
{
  const auto [found, isNew] = m_statements.try_emplace(aEntry.id);
  auto& known = found->second;
  if (isNew || IsLaterStart(aEntry.startedAt, known.startedAt)) {
    known = {};
    known.startedAt = aEntry.startedAt;
    known.lastListedAt = aNow;
    return &known;
  }
  return IsLaterStart(known.startedAt, aEntry.startedAt) ? nullptr : &known;
}

const UpstreamSignals::Statements*
UpstreamSignals::Find(const UpstreamEntry& aEntry) const
{
  const auto found = m_statements.find(aEntry.id);
  const bool applies = found != m_statements.end() &&
                       !IsLaterStart(aEntry.startedAt, found->second.startedAt);
  return applies ? &found->second : nullptr;
}

SignalChange
UpstreamSignals::Record(const UpstreamEntry& aEntry,
                        const AnswerSignals& aSignals,
                        TimePoint aNow)
{
  auto* known = aSignals.IsEmpty() ? nullptr : StatementsOf(aEntry, aNow);
  if (known == nullptr) {
    return SignalChange::None;
  }
  const bool wasPaused = aNow < known->pausedUntil;
  const bool wasLeaving = known->leaving;
  known->leaving = wasLeaving || aSignals.leaving;
  if (aSignals.retryAfter > Duration{}) {
    // A longer pause that was asked for before stays in force.
    known->pausedUntil =
      std::max(known->pausedUntil, aNow + aSignals.retryAfter);
  }
  if (known->leaving) {
    return wasLeaving ? SignalChange::None : SignalChange::Leaving;
  }
  return wasPaused ? SignalChange::None : SignalChange::Paused;
}

bool
UpstreamSignals::IsLeaving(const UpstreamEntry& aEntry) const
{
  const auto* known = Find(aEntry);
  return known != nullptr && known->leaving;
}

TimePoint
UpstreamSignals::PausedUntil(const UpstreamEntry& aEntry) const
{
  const auto* known = Find(aEntry);
  return known != nullptr ? known->pausedUntil : TimePoint::min();
}

std::size_t
UpstreamSignals::LeavingCount() const
{
  return static_cast<std::size_t>(std::count_if(
    m_statements.begin(), m_statements.end(), [](const auto& aEntry) {
      return aEntry.second.leaving;
    }));
}

std::size_t
UpstreamSignals::PausedCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    m_statements.begin(), m_statements.end(), [&](const auto& aEntry) {
      return aNow < aEntry.second.pausedUntil;
    }));
}

void
UpstreamSignals::Sweep(const UpstreamEntries& aListed, TimePoint aNow)
{
  for (auto& [id, known] : m_statements) {
    const auto entry = aListed.find(id);
    const bool isListed =
      entry != aListed.end() &&
      !IsLaterStart(entry->second->startedAt, known.startedAt);
    if (isListed) {
      known.lastListedAt = aNow;
    }
  }
  std::erase_if(m_statements, [&](const auto& aEntry) {
    const auto& known = aEntry.second;
    const bool isOver = !known.leaving && aNow >= known.pausedUntil;
    return isOver || aNow - known.lastListedAt >= kSignalRetention;
  });
}

}
