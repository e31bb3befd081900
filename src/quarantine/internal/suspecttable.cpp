#include "quarantine/suspecttable.h"

#include "quarantine/partscore.h"
#include "quarantine/quarantineconstants.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hemlockgauge::quarantine {

namespace {

//! Maximum number of pending notices. Further ones are dropped.
constexpr std::size_t kMaxNotices = 256;
//! Maximum number of passes over all suspects when one quarantine began or
//! ended: what is explained then may begin or end others.
constexpr int kMaxEvaluationPasses = 3;

//! Score from which a trait is quarantined.
int
ScoreToQuarantine(const Trait& aTrait)
{
  return aTrait.kind == TraitKind::PromptPart
           ? kPartScoreToQuarantine
           : static_cast<int>(kCrashesToQuarantine);
}

template<typename Item>
std::vector<TimePoint>
TimesOf(const std::vector<Item>& aItems)
{
  std::vector<TimePoint> times;
  times.reserve(aItems.size());
  for (const auto& item : aItems) {
    times.push_back(item.at);
  }
  return times;
}

//! Order in which suspects are evicted, the lowest first.
std::tuple<bool, int, TimePoint>
EvictionOrder(const Suspect& aSuspect)
{
  return { aSuspect.isQuarantined,
           std::max(aSuspect.Strength(), 0),
           aSuspect.LastEventAt() };
}

}

const Suspect*
SuspectTable::Find(const Trait& aTrait) const
{
  const auto found = m_suspects.find(aTrait);
  return found == m_suspects.end() ? nullptr : &found->second;
}

Suspect*
SuspectTable::Find(const Trait& aTrait)
{
  const auto found = m_suspects.find(aTrait);
  return found == m_suspects.end() ? nullptr : &found->second;
}

//! Whether aOther is more likely to be the cause of crashes that both have. If
//! two are as likely, neither explains the other, since the harmless one would
//! hide the cause. A request that callers repeat is an exception: it explains
//! the crashes of its prompt's parts.
bool
SuspectTable::Explains(const Trait& aOther,
                       const Trait& aTrait,
                       const Suspect& aSuspect) const
{
  const auto other = m_suspects.at(aOther).Strength();
  const auto own = aSuspect.Strength();
  const bool isMoreSpecific =
    aOther.kind == TraitKind::Request && aTrait.kind == TraitKind::PromptPart;
  return other > own || (other == own && isMoreSpecific);
}

bool
SuspectTable::IsExplained(const Trait& aTrait,
                          const Suspect& aSuspect,
                          UpstreamId aUpstream) const
{
  return std::any_of(
    m_quarantined.begin(), m_quarantined.end(), [&](const Trait& aOther) {
      return aOther != aTrait && Explains(aOther, aTrait, aSuspect) &&
             m_suspects.at(aOther).HasCrashOf(aUpstream);
    });
}

std::vector<Suspect::Crash>
SuspectTable::Unexplained(const Trait& aTrait, const Suspect& aSuspect) const
{
  auto crashes = aSuspect.Crashes();
  std::erase_if(crashes, [&](const Suspect::Crash& aCrash) {
    return IsExplained(aTrait, aSuspect, aCrash.upstream);
  });
  return crashes;
}

std::size_t
SuspectTable::UnexplainedCount(const Trait& aTrait,
                               const Suspect& aSuspect) const
{
  return Unexplained(aTrait, aSuspect).size();
}

//! NOTE several checks that are pending for a prompt part count as one crash:
//! the upstreams may have been lost together.
bool
SuspectTable::IsEnough(const Trait& aTrait,
                       const Suspect& aSuspect,
                       std::size_t aUnsure) const
{
  const auto crashes = Unexplained(aTrait, aSuspect);
  const int score =
    aTrait.kind == TraitKind::Request
      ? static_cast<int>(crashes.size() + aUnsure)
      : PartScore(TimesOf(crashes), TimesOf(aSuspect.Answers())) +
          (aUnsure > 0 ? 1 : 0);
  return score >= ScoreToQuarantine(aTrait);
}

void
SuspectTable::Update(const Trait& aTrait, TimePoint aNow)
{
  auto& suspect = m_suspects.at(aTrait);
  const bool wasQuarantined = suspect.isQuarantined;
  Evaluate(aTrait, suspect, aNow);
  if (wasQuarantined || suspect.isQuarantined) {
    EvaluateAll(aNow);
  }
  EvictIfFull();
}

void
SuspectTable::Evaluate(const Trait& aTrait, Suspect& aSuspect, TimePoint aNow)
{
  const bool isRecent = !aSuspect.Crashes().empty() &&
                        aNow - aSuspect.LastCrashAt() < kQuarantineDuration;
  const bool isNeeded = isRecent && IsEnough(aTrait, aSuspect);
  SetQuarantined(aTrait,
                 aSuspect,
                 isNeeded,
                 isNeeded ? QuarantineChange::Quarantined
                          : QuarantineChange::Cleared,
                 aNow);
}

void
SuspectTable::EvaluateAll(TimePoint aNow)
{
  bool hasChanged = true;
  for (int pass = 0; hasChanged && pass < kMaxEvaluationPasses; ++pass) {
    hasChanged = false;
    for (auto& [trait, suspect] : m_suspects) {
      if (suspect.Crashes().size() < kCrashesToQuarantine) {
        continue;
      }
      const bool wasQuarantined = suspect.isQuarantined;
      Evaluate(trait, suspect, aNow);
      hasChanged = hasChanged || wasQuarantined != suspect.isQuarantined;
    }
  }
}

void
SuspectTable::SetQuarantined(const Trait& aTrait,
                             Suspect& aSuspect,
                             bool aIsQuarantined,
                             QuarantineChange aWhy,
                             TimePoint aNow)
{
  if (aSuspect.isQuarantined == aIsQuarantined) {
    return;
  }
  aSuspect.isQuarantined = aIsQuarantined;
  if (aIsQuarantined) {
    m_quarantined.insert(aTrait);
  } else {
    m_quarantined.erase(aTrait);
  }
  if (m_notices.size() < kMaxNotices) {
    m_notices.push_back(MakeNotice(aTrait, aSuspect, aWhy, aNow));
  }
}

void
SuspectTable::Tick(TimePoint aNow)
{
  for (auto& [trait, suspect] : m_suspects) {
    const bool hasEnded = suspect.isQuarantined &&
                          aNow - suspect.LastCrashAt() >= kQuarantineDuration;
    if (hasEnded) {
      // The crashes are kept, so that one more crash is enough to quarantine
      // the trait again.
      SetQuarantined(trait, suspect, false, QuarantineChange::Expired, aNow);
    }
    suspect.RemoveCrashesUntil(aNow - kCrashTtl);
  }
  std::erase_if(m_suspects, [&](const auto& aEntry) {
    const auto& suspect = aEntry.second;
    return suspect.Crashes().empty() && !suspect.isQuarantined &&
           (!suspect.clearedAt || aNow - *suspect.clearedAt >= kCrashTtl);
  });
}

void
SuspectTable::EvictIfFull()
{
  if (m_suspects.size() <= kMaxSuspects) {
    return;
  }
  std::vector<Suspects::iterator> order;
  order.reserve(m_suspects.size());
  for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
    order.push_back(it);
  }
  std::nth_element(order.begin(),
                   order.begin() + kEvictionBatch,
                   order.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return EvictionOrder(aLeft->second) <
                            EvictionOrder(aRight->second);
                   });
  for (std::size_t i = 0; i < kEvictionBatch; ++i) {
    m_quarantined.erase(order[i]->first);
    m_suspects.erase(order[i]);
    m_evicted++;
  }
}

std::vector<QuarantineNotice>
SuspectTable::TakeNotices()
{
  return std::exchange(m_notices, {});
}

QuarantineNotice
SuspectTable::MakeNotice(const Trait& aTrait,
                         const Suspect& aSuspect,
                         QuarantineChange aChange,
                         TimePoint aNow)
{
  return { aTrait,
           aChange,
           aSuspect.Crashes().size(),
           aSuspect.Answers().size(),
           aSuspect.Crashes().empty() ? Duration{}
                                      : aNow - aSuspect.LastCrashAt() };
}

}
