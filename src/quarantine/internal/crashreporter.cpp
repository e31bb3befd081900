#include "quarantine/crashreporter.h"

#include "quarantine/quarantineconstants.h"
#include "quarantine/suspecttable.h"

#include <algorithm>
#include <tuple>

namespace hemlockgauge::quarantine {

namespace {

//! Appends reports made by aMake of the items that are young enough to be
//! reported. Two routers would otherwise restore what expires soon for each
//! other forever.
template<typename Item, typename Report, typename Make>
void
AppendYoung(std::vector<Report>& aReports,
            const std::vector<Item>& aItems,
            TimePoint aNow,
            Make aMake)
{
  for (const auto& item : aItems) {
    const auto age = aNow - item.at;
    if (age < kMaxReportedCrashAge && aReports.size() < kMaxCrashesPerReport) {
      aReports.push_back(aMake(item, age));
    }
  }
}

void
AppendPart(CrashUpdates& aUpdates,
           PromptPartId aPart,
           const Suspect& aSuspect,
           TimePoint aNow)
{
  AppendYoung(aUpdates.partCrashes,
              aSuspect.Crashes(),
              aNow,
              [&](const Suspect::Crash& aCrash, Duration aAge) {
                return PartCrashReport{ aPart, aCrash.upstream, aAge };
              });
  AppendYoung(aUpdates.partAnswers,
              aSuspect.Answers(),
              aNow,
              [&](const Suspect::Answer& aAnswer, Duration aAge) {
                return PartAnswerReport{ aPart, aAnswer.id, aAge };
              });
}

void
AppendRequest(CrashUpdates& aUpdates,
              RequestFingerprint aRequest,
              const Suspect& aSuspect,
              TimePoint aNow)
{
  AppendYoung(aUpdates.crashes,
              aSuspect.Crashes(),
              aNow,
              [&](const Suspect::Crash& aCrash, Duration aAge) {
                return CrashReport{ aRequest, aCrash.upstream, aAge };
              });
  if (!aSuspect.clearedAt) {
    return;
  }
  const auto age = aNow - *aSuspect.clearedAt;
  if (age < kMaxReportedCrashAge &&
      aUpdates.clearances.size() < kMaxCrashesPerReport) {
    aUpdates.clearances.push_back({ aRequest, age });
  }
}

//! Appends what is known of one suspect.
void
Append(CrashUpdates& aUpdates,
       const Trait& aTrait,
       const Suspect& aSuspect,
       TimePoint aNow)
{
  if (aTrait.kind == TraitKind::PromptPart) {
    AppendPart(aUpdates, PromptPartId(aTrait.id), aSuspect, aNow);
  } else {
    AppendRequest(aUpdates, RequestFingerprint(aTrait.id), aSuspect, aNow);
  }
}

//! Order of suspects in reports, the highest first. Those with many crashes
//! come first also if they have answers, which other routers have to know.
std::tuple<bool, std::size_t, TimePoint>
ReportOrder(const Suspect& aSuspect)
{
  return { aSuspect.isQuarantined,
           aSuspect.Crashes().size(),
           aSuspect.LastEventAt() };
}

bool
IsFull(const CrashUpdates& aUpdates)
{
  return aUpdates.crashes.size() >= kMaxCrashesPerReport ||
         aUpdates.clearances.size() >= kMaxCrashesPerReport ||
         aUpdates.partCrashes.size() >= kMaxCrashesPerReport ||
         aUpdates.partAnswers.size() >= kMaxCrashesPerReport;
}

}

CrashUpdates
CrashReporter::TakeUnreported(SuspectTable& aSuspects, TimePoint aNow)
{
  std::vector<SuspectTable::Suspects::iterator> unreported;
  auto& all = aSuspects.All();
  for (auto it = all.begin(); it != all.end(); ++it) {
    if (it->second.pendingReports > 0) {
      unreported.push_back(it);
    }
  }
  std::sort(unreported.begin(),
            unreported.end(),
            [](const auto& aLeft, const auto& aRight) {
              return ReportOrder(aLeft->second) > ReportOrder(aRight->second);
            });
  CrashUpdates updates;
  std::size_t singles = 0; // suspects with one crash
  for (const auto& entry : unreported) {
    auto& [trait, suspect] = *entry;
    const bool isSingle = suspect.Crashes().size() <= 1;
    if (isSingle && ++singles > kMaxSinglesPerReport) {
      continue;
    }
    if (IsFull(updates)) {
      break;
    }
    suspect.pendingReports--;
    Append(updates, trait, suspect, aNow);
  }
  return updates;
}

CrashUpdates
CrashReporter::NextRefresh(const SuspectTable& aSuspects, TimePoint aNow)
{
  CrashUpdates updates;
  for (const auto& trait : aSuspects.Quarantined()) {
    Append(updates, trait, *aSuspects.Find(trait), aNow);
  }
  const auto& all = aSuspects.All();
  const auto count = std::min(kSuspectsPerRefresh, all.size());
  auto next = all.lower_bound(m_nextToRefresh);
  for (std::size_t i = 0; i < count; ++i) {
    next = next == all.end() ? all.begin() : next;
    Append(updates, next->first, next->second, aNow);
    ++next;
  }
  m_nextToRefresh = next == all.end() ? Trait{} : next->first;
  return updates;
}

}
