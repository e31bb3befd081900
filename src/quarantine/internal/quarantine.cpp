#include "quarantine/quarantine.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>
#include <utility>

namespace hemlockgauge::quarantine {

namespace {

//! Maximum number of pending notices. Further ones are dropped.
constexpr std::size_t kMaxNotices = 256;

}

TimePoint
Quarantine::Record::LastEventAt() const
{
  TimePoint lastEventAt = clearedAt.value_or(TimePoint::min());
  for (const auto& crash : crashes) {
    lastEventAt = std::max(lastEventAt, crash.at);
  }
  return lastEventAt;
}

void
Quarantine::RecordCrash(RequestFingerprint aRequest,
                        UpstreamId aUpstream,
                        TimePoint aNow)
{
  Add(aRequest, { aUpstream, aNow }, aNow);
}

//! Several routers report the same crash. Reported ages lack the transmission
//! time, so that the earliest of the resulting times is the most accurate.
void
Quarantine::Add(RequestFingerprint aRequest,
                const Crash& aCrash,
                TimePoint aNow)
{
  if (const auto success = m_successes.Last(aRequest)) {
    if (aCrash.at <= *success + kSuccessValidity) {
      Clear(aRequest, *success);
    }
  }
  auto& record = m_records[aRequest];
  if (record.clearedAt && aCrash.at <= *record.clearedAt + kSuccessValidity) {
    // The router that reported the crash may not know that it is cleared.
    record.pendingReports = kReportsPerItem;
    return;
  }
  auto& crashes = record.crashes;
  const auto known =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aKnown) {
      return aKnown.upstream == aCrash.upstream;
    });
  if (known != crashes.end()) {
    known->at = std::min(known->at, aCrash.at);
    return;
  }
  const auto firstLater =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aKnown) {
      return aKnown.at > aCrash.at;
    });
  crashes.insert(firstLater, aCrash);
  if (crashes.size() > kMaxCrashesPerSuspect) {
    crashes.erase(crashes.begin());
  }
  record.pendingReports = kReportsPerItem;
  QuarantineIfNeeded(aRequest, record, aNow);
  if (record.isQuarantined) {
    ReleaseExplained();
  }
  EvictIfFull();
}

void
Quarantine::QuarantineIfNeeded(RequestFingerprint aRequest,
                               Record& aRecord,
                               TimePoint aNow)
{
  const bool isNeeded = aNow - aRecord.LastEventAt() < kQuarantineDuration &&
                        CountUnexplained(aRecord) >= kCrashesToQuarantine;
  if (isNeeded && !aRecord.isQuarantined) {
    aRecord.isQuarantined = true;
    AddNotice(aRequest, QuarantineChange::Quarantined, aRecord);
  }
}

void
Quarantine::RecordSuccess(RequestFingerprint aRequest, TimePoint aNow)
{
  m_successes.Add(aRequest, aNow);
  if (m_records.contains(aRequest)) {
    Clear(aRequest, aNow);
  }
}

void
Quarantine::Clear(RequestFingerprint aRequest, TimePoint aAt)
{
  auto& record = m_records[aRequest];
  if (record.clearedAt && aAt <= *record.clearedAt) {
    return;
  }
  const auto removedCrashes =
    std::erase_if(record.crashes, [&](const Crash& aCrash) {
      return aCrash.at <= aAt + kSuccessValidity;
    });
  const bool hasChanged = !record.clearedAt || removedCrashes > 0;
  record.clearedAt = aAt;
  record.pendingReports = hasChanged ? kReportsPerItem : record.pendingReports;
  if (record.isQuarantined && CountUnexplained(record) < kCrashesToQuarantine) {
    record.isQuarantined = false;
    AddNotice(aRequest, QuarantineChange::Cleared, record);
  }
  EvictIfFull();
}

//! Only a quarantined request with more crashes explains a crash of another
//! one. A request with as few crashes may itself have run beside the actual
//! cause, and would hide it.
bool
Quarantine::IsExplained(const Record& aRecord, UpstreamId aUpstream) const
{
  return std::any_of(
    m_records.begin(), m_records.end(), [&](const auto& aEntry) {
      const auto& other = aEntry.second;
      return other.isQuarantined &&
             other.crashes.size() > aRecord.crashes.size() &&
             std::any_of(other.crashes.begin(),
                         other.crashes.end(),
                         [&](const Crash& aCrash) {
                           return aCrash.upstream == aUpstream;
                         });
    });
}

std::size_t
Quarantine::CountUnexplained(const Record& aRecord) const
{
  return static_cast<std::size_t>(std::count_if(
    aRecord.crashes.begin(), aRecord.crashes.end(), [&](const Crash& aCrash) {
      return !IsExplained(aRecord, aCrash.upstream);
    }));
}

//! Ends the quarantine of requests whose crashes are now explained. A further
//! crash of a quarantined request may show that the others merely ran beside
//! it.
void
Quarantine::ReleaseExplained()
{
  for (auto& [request, record] : m_records) {
    if (record.isQuarantined &&
        CountUnexplained(record) < kCrashesToQuarantine) {
      record.isQuarantined = false;
      AddNotice(request, QuarantineChange::Cleared, record);
    }
  }
}

std::size_t
Quarantine::CrashCount(RequestFingerprint aRequest) const
{
  const auto found = m_records.find(aRequest);
  return found == m_records.end() ? 0 : CountUnexplained(found->second);
}

std::optional<Duration>
Quarantine::RefusedFor(RequestFingerprint aRequest,
                       std::size_t aUnsure,
                       TimePoint aNow) const
{
  const auto found = m_records.find(aRequest);
  if (found != m_records.end() && found->second.isQuarantined) {
    const auto timeLeft =
      found->second.LastEventAt() + kQuarantineDuration - aNow;
    if (timeLeft > Duration{}) {
      return timeLeft;
    }
  }
  const auto success = m_successes.Last(aRequest);
  if (success && aNow <= *success + kSuccessValidity) {
    return std::nullopt;
  }
  if (aUnsure > 0 && CrashCount(aRequest) + aUnsure >= kCrashesToQuarantine) {
    return kPendingCheckRefusal;
  }
  return std::nullopt;
}

void
Quarantine::Take(const CrashUpdates& aNews, TimePoint aNow)
{
  for (const auto& clearance : aNews.clearances) {
    Clear(clearance.request, aNow - clearance.age);
  }
  for (const auto& crash : aNews.crashes) {
    if (crash.age < kCrashTtl) {
      Add(crash.request, { crash.upstream, aNow - crash.age }, aNow);
    }
  }
}

//! Appends the crashes and the clearance of one record to aNews. Leaves out
//! what is older than kMaxReportedCrashAge and expires soon, since two routers
//! would otherwise restore it for each other forever.
void
Quarantine::AppendRecord(CrashUpdates& aNews,
                         RequestFingerprint aRequest,
                         const Record& aRecord,
                         TimePoint aNow)
{
  for (const auto& crash : aRecord.crashes) {
    const auto age = aNow - crash.at;
    if (age < kMaxReportedCrashAge &&
        aNews.crashes.size() < kMaxCrashesPerReport) {
      aNews.crashes.push_back({ aRequest, crash.upstream, age });
    }
  }
  if (!aRecord.clearedAt) {
    return;
  }
  const auto age = aNow - *aRecord.clearedAt;
  if (age < kMaxReportedCrashAge &&
      aNews.clearances.size() < kMaxCrashesPerReport) {
    aNews.clearances.push_back({ aRequest, age });
  }
}

//! If not everything fits, records of high priority are reported first.
CrashUpdates
Quarantine::TakeUnreportedCrashes(TimePoint aNow)
{
  std::vector<Records::iterator> unreported;
  for (auto it = m_records.begin(); it != m_records.end(); ++it) {
    if (it->second.pendingReports > 0) {
      unreported.push_back(it);
    }
  }
  std::sort(unreported.begin(),
            unreported.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->second.Priority() > aRight->second.Priority();
            });
  CrashUpdates news;
  for (const auto& entry : unreported) {
    const bool full = news.crashes.size() >= kMaxCrashesPerReport ||
                      news.clearances.size() >= kMaxCrashesPerReport;
    if (full) {
      break;
    }
    entry->second.pendingReports--;
    AppendRecord(news, entry->first, entry->second, aNow);
  }
  return news;
}

CrashUpdates
Quarantine::NextCrashRefresh(TimePoint aNow)
{
  CrashUpdates news;
  for (const auto& [request, record] : m_records) {
    if (record.isQuarantined) {
      AppendRecord(news, request, record, aNow);
    }
  }
  const auto count = std::min(kSuspectsPerRefresh, m_records.size());
  auto next = m_records.lower_bound(m_nextInTurn);
  for (std::size_t i = 0; i < count; ++i) {
    next = next == m_records.end() ? m_records.begin() : next;
    AppendRecord(news, next->first, next->second, aNow);
    ++next;
  }
  m_nextInTurn = next == m_records.end() ? RequestFingerprint{} : next->first;
  return news;
}

void
Quarantine::Tick(TimePoint aNow)
{
  for (auto& [request, record] : m_records) {
    const bool hasEnded = record.isQuarantined &&
                          aNow - record.LastEventAt() >= kQuarantineDuration;
    if (hasEnded) {
      // The crashes are kept, so that one more crash is enough to quarantine
      // the request again.
      record.isQuarantined = false;
      AddNotice(request, QuarantineChange::Expired, record);
    }
    std::erase_if(record.crashes, [&](const Crash& aCrash) {
      return aNow - aCrash.at >= kCrashTtl;
    });
  }
  std::erase_if(m_records, [&](const auto& aEntry) {
    const auto& record = aEntry.second;
    return record.crashes.empty() &&
           (!record.clearedAt || aNow - *record.clearedAt >= kCrashTtl);
  });
}

//! Evicts the record of the lowest priority if there are too many.
void
Quarantine::EvictIfFull()
{
  if (m_records.size() <= kMaxSuspects) {
    return;
  }
  const auto lowest = std::min_element(
    m_records.begin(),
    m_records.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.Priority() < aRight.second.Priority();
    });
  m_records.erase(lowest);
}

void
Quarantine::AddNotice(RequestFingerprint aRequest,
                      QuarantineChange aChange,
                      const Record& aRecord)
{
  if (m_notices.size() < kMaxNotices) {
    m_notices.push_back({ aRequest, aChange, aRecord.crashes.size() });
  }
}

std::vector<QuarantineNotice>
Quarantine::TakeNotices()
{
  return std::exchange(m_notices, {});
}

std::vector<QuarantineNotice>
Quarantine::RefusedRequests(TimePoint aNow) const
{
  std::vector<QuarantineNotice> notices;
  for (const auto& [request, record] : m_records) {
    if (RefusedFor(request, 0, aNow)) {
      notices.push_back(
        { request, QuarantineChange::Quarantined, record.crashes.size() });
    }
  }
  return notices;
}

}
