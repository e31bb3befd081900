#include "quarantine/partscore.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>
#include <optional>

namespace hemlockgauge::quarantine {

using base::TimePoint;

namespace {

//! Drops crashes that belong to the same event as an earlier one. aCrashes is
//! sorted.
std::vector<TimePoint>
SeparateEvents(const std::vector<TimePoint>& aCrashes)
{
  std::vector<TimePoint> events;
  for (const auto at : aCrashes) {
    if (events.empty() || at - events.back() >= kSameEventInterval) {
      events.push_back(at);
    }
  }
  return events;
}

}

int
PartScore(std::vector<TimePoint> aCrashes, std::vector<TimePoint> aAnswers)
{
  std::sort(aCrashes.begin(), aCrashes.end());
  std::sort(aAnswers.begin(), aAnswers.end());
  int score = 0;
  auto answer = aAnswers.begin();
  std::optional<TimePoint> lastAnswer;
  const auto countAnswersUntil = [&](TimePoint aUntil) {
    for (; answer != aAnswers.end() && *answer <= aUntil; ++answer) {
      score = std::max(score - kAnswerWeight, kMinPartScore);
      lastAnswer = *answer;
    }
  };
  for (const auto crash : SeparateEvents(aCrashes)) {
    countAnswersUntil(crash);
    const bool isOutdated = lastAnswer && crash - *lastAnswer > kAnswerValidity;
    if (isOutdated) {
      score = std::max(score, 0);
    }
    score = std::min(score + 1, kMaxPartScore);
  }
  countAnswersUntil(TimePoint::max());
  return score;
}

}
