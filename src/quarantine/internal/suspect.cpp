#include "quarantine/suspect.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>

namespace hemlockgauge::quarantine {

namespace {

//! Inserts aItem in the order of times and drops the oldest item beyond aMax.
//! Returns false if that would be aItem itself, or routers would report it to
//! each other again and again.
template<typename Item>
bool
InsertByTime(std::vector<Item>& aItems, const Item& aItem, std::size_t aMax)
{
  const bool isFull = aItems.size() >= aMax;
  if (isFull && aItem.at <= aItems.front().at) {
    return false;
  }
  const auto firstLater =
    std::find_if(aItems.begin(), aItems.end(), [&](const Item& aOther) {
      return aOther.at > aItem.at;
    });
  aItems.insert(firstLater, aItem);
  if (isFull) {
    aItems.erase(aItems.begin());
  }
  return true;
}

}

bool
Suspect::AddCrash(const Crash& aCrash)
{
  const auto known =
    std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aKnown) {
      return aKnown.upstream == aCrash.upstream;
    });
  if (known != m_crashes.end()) {
    known->at = std::min(known->at, aCrash.at);
    return false;
  }
  return InsertByTime(m_crashes, aCrash, kMaxCrashesPerSuspect);
}

bool
Suspect::AddAnswer(const Answer& aAnswer)
{
  const auto known =
    std::find_if(m_answers.begin(), m_answers.end(), [&](const Answer& aKnown) {
      return aKnown.id == aAnswer.id;
    });
  if (known != m_answers.end()) {
    known->at = std::min(known->at, aAnswer.at);
    return false;
  }
  return InsertByTime(m_answers, aAnswer, kMaxAnswersPerSuspect);
}

bool
Suspect::RemoveCrashesUntil(TimePoint aUntil)
{
  return std::erase_if(m_crashes, [&](const Crash& aCrash) {
           return aCrash.at <= aUntil;
         }) > 0;
}

bool
Suspect::IsCleared(const Crash& aCrash) const
{
  return clearedAt && aCrash.at <= *clearedAt + kClearedAfterAnswer;
}

bool
Suspect::HasCrashOf(UpstreamId aUpstream) const
{
  return std::any_of(
    m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
      return aCrash.upstream == aUpstream;
    });
}

std::size_t
Suspect::CrashesBeside(const Suspect& aOther) const
{
  return static_cast<std::size_t>(
    std::count_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& aCrash) {
      return !aOther.HasCrashOf(aCrash.upstream);
    }));
}

int
Suspect::Strength() const
{
  return static_cast<int>(m_crashes.size()) -
         kAnswerWeight * static_cast<int>(m_answers.size());
}

TimePoint
Suspect::LastCrashAt() const
{
  TimePoint last = TimePoint::min();
  for (const auto& crash : m_crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

TimePoint
Suspect::LastEventAt() const
{
  auto last = std::max(LastCrashAt(), clearedAt.value_or(TimePoint::min()));
  for (const auto& answer : m_answers) {
    last = std::max(last, answer.at);
  }
  return last;
}

}
