#include "quarantine/quarantine.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>
#include <utility>

namespace hemlockgauge::quarantine {

namespace {

//! Notices that nobody took; more are not kept.
constexpr std::size_t kMostNotices = 256;

}

TimePoint
Quarantine::Record::Newest() const
{
  TimePoint newest = clearedAt.value_or(TimePoint::min());
  for (const auto& crash : crashes) {
    newest = std::max(newest, crash.at);
  }
  return newest;
}

void
Quarantine::Crashed(RequestFingerprint aRequest,
                    UpstreamId aUpstream,
                    TimePoint aNow)
{
  Add(aRequest, { aUpstream, aNow }, aNow);
}

//! The same crash is told by many, with ages that lack the time on their way:
//! the oldest is the nearest.
void
Quarantine::Add(RequestFingerprint aRequest,
                const Crash& aCrash,
                TimePoint aNow)
{
  if (const auto success = m_successes.Last(aRequest)) {
    if (aCrash.at <= *success + kSoundFor) {
      Clear(aRequest, *success);
    }
  }
  auto& record = m_records[aRequest];
  if (record.clearedAt && aCrash.at <= *record.clearedAt + kSoundFor) {
    record.toTell = kTimesTold; // whoever told the crash may not know
    return;
  }
  auto& crashes = record.crashes;
  const auto known =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aOne) {
      return aOne.upstream == aCrash.upstream;
    });
  if (known != crashes.end()) {
    known->at = std::min(known->at, aCrash.at);
    return;
  }
  const auto later =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aOne) {
      return aOne.at > aCrash.at;
    });
  crashes.insert(later, aCrash);
  if (crashes.size() > kMostCrashesKept) {
    crashes.erase(crashes.begin());
  }
  record.toTell = kTimesTold;
  Judge(aRequest, record, aNow);
  if (record.held) {
    ReleaseExplained();
  }
  MakeRoom();
}

void
Quarantine::Judge(RequestFingerprint aRequest, Record& aRecord, TimePoint aNow)
{
  const bool guilty = aNow - aRecord.Newest() < kQuarantineTime &&
                      Unexplained(aRecord) >= kCrashesToQuarantine;
  if (guilty && !aRecord.held) {
    aRecord.held = true;
    Note(aRequest, QuarantineChange::Quarantined, aRecord);
  }
}

void
Quarantine::EndedWell(RequestFingerprint aRequest, TimePoint aNow)
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
  const auto voided = std::erase_if(record.crashes, [&](const Crash& aCrash) {
    return aCrash.at <= aAt + kSoundFor;
  });
  const bool isNews = !record.clearedAt || voided > 0;
  record.clearedAt = aAt;
  record.toTell = isNews ? kTimesTold : record.toTell;
  if (record.held && Unexplained(record) < kCrashesToQuarantine) {
    record.held = false;
    Note(aRequest, QuarantineChange::Cleared, record);
  }
  MakeRoom();
}

//! NOTE not by one that met as few crashes: it may be what was beside the true
//! cause, and would hide it.
bool
Quarantine::IsExplained(const Record& aRecord, UpstreamId aUpstream) const
{
  return std::any_of(
    m_records.begin(), m_records.end(), [&](const auto& aEntry) {
      const auto& other = aEntry.second;
      return other.held && other.crashes.size() > aRecord.crashes.size() &&
             std::any_of(other.crashes.begin(),
                         other.crashes.end(),
                         [&](const Crash& aCrash) {
                           return aCrash.upstream == aUpstream;
                         });
    });
}

std::size_t
Quarantine::Unexplained(const Record& aRecord) const
{
  return static_cast<std::size_t>(std::count_if(
    aRecord.crashes.begin(), aRecord.crashes.end(), [&](const Crash& aCrash) {
      return !IsExplained(aRecord, aCrash.upstream);
    }));
}

//! One more crash under a quarantined request may clear what was beside it.
void
Quarantine::ReleaseExplained()
{
  for (auto& [request, record] : m_records) {
    if (record.held && Unexplained(record) < kCrashesToQuarantine) {
      record.held = false;
      Note(request, QuarantineChange::Cleared, record);
    }
  }
}

std::size_t
Quarantine::Crashes(RequestFingerprint aRequest) const
{
  const auto found = m_records.find(aRequest);
  return found == m_records.end() ? 0 : Unexplained(found->second);
}

std::optional<Duration>
Quarantine::HeldFor(RequestFingerprint aRequest,
                    std::size_t aUnsure,
                    TimePoint aNow) const
{
  const auto found = m_records.find(aRequest);
  if (found != m_records.end() && found->second.held) {
    const auto left = found->second.Newest() + kQuarantineTime - aNow;
    if (left > Duration{}) {
      return left;
    }
  }
  const auto success = m_successes.Last(aRequest);
  if (success && aNow <= *success + kSoundFor) {
    return std::nullopt;
  }
  if (aUnsure > 0 && Crashes(aRequest) + aUnsure >= kCrashesToQuarantine) {
    return kUnsureFor;
  }
  return std::nullopt;
}

void
Quarantine::Take(const CrashNews& aNews, TimePoint aNow)
{
  for (const auto& clearance : aNews.clearances) {
    Clear(clearance.request, aNow - clearance.age);
  }
  for (const auto& crash : aNews.crashes) {
    if (crash.age < kCrashKept) {
      Add(crash.request, { crash.upstream, aNow - crash.age }, aNow);
    }
  }
}

//! Not what is about to be forgotten: two routers would remind each other of it
//! for ever.
void
Quarantine::TellRecord(CrashNews& aNews,
                       RequestFingerprint aRequest,
                       const Record& aRecord,
                       TimePoint aNow)
{
  for (const auto& crash : aRecord.crashes) {
    const auto age = aNow - crash.at;
    if (age < kCrashTold && aNews.crashes.size() < kMostCrashesTold) {
      aNews.crashes.push_back({ aRequest, crash.upstream, age });
    }
  }
  if (!aRecord.clearedAt) {
    return;
  }
  const auto age = aNow - *aRecord.clearedAt;
  if (age < kCrashTold && aNews.clearances.size() < kMostCrashesTold) {
    aNews.clearances.push_back({ aRequest, age });
  }
}

//! Where there is more news than room, what most is known of goes first.
CrashNews
Quarantine::TellNews(TimePoint aNow)
{
  std::vector<Records::iterator> untold;
  for (auto it = m_records.begin(); it != m_records.end(); ++it) {
    if (it->second.toTell > 0) {
      untold.push_back(it);
    }
  }
  std::sort(
    untold.begin(), untold.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne->second.Rank() > aTwo->second.Rank();
    });
  CrashNews news;
  for (const auto& entry : untold) {
    const bool full = news.crashes.size() >= kMostCrashesTold ||
                      news.clearances.size() >= kMostCrashesTold;
    if (full) {
      break;
    }
    entry->second.toTell--;
    TellRecord(news, entry->first, entry->second, aNow);
  }
  return news;
}

CrashNews
Quarantine::TellInTurn(TimePoint aNow)
{
  CrashNews news;
  for (const auto& [request, record] : m_records) {
    if (record.held) {
      TellRecord(news, request, record, aNow);
    }
  }
  const auto count = std::min(kSuspectsInTurn, m_records.size());
  auto next = m_records.lower_bound(m_nextTold);
  for (std::size_t i = 0; i < count; ++i) {
    next = next == m_records.end() ? m_records.begin() : next;
    TellRecord(news, next->first, next->second, aNow);
    ++next;
  }
  m_nextTold = next == m_records.end() ? RequestFingerprint{} : next->first;
  return news;
}

void
Quarantine::Tick(TimePoint aNow)
{
  for (auto& [request, record] : m_records) {
    const bool isOver =
      record.held && aNow - record.Newest() >= kQuarantineTime;
    if (isOver) {
      //! NOTE one more crash is enough to hold it again.
      record.held = false;
      Note(request, QuarantineChange::Expired, record);
    }
    std::erase_if(record.crashes, [&](const Crash& aCrash) {
      return aNow - aCrash.at >= kCrashKept;
    });
  }
  std::erase_if(m_records, [&](const auto& aEntry) {
    const auto& record = aEntry.second;
    return record.crashes.empty() &&
           (!record.clearedAt || aNow - *record.clearedAt >= kCrashKept);
  });
}

//! What least is known of goes first.
void
Quarantine::MakeRoom()
{
  if (m_records.size() <= kMostSuspects) {
    return;
  }
  const auto least = std::min_element(
    m_records.begin(), m_records.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second.Rank() < aTwo.second.Rank();
    });
  m_records.erase(least);
}

void
Quarantine::Note(RequestFingerprint aRequest,
                 QuarantineChange aChange,
                 const Record& aRecord)
{
  if (m_notices.size() < kMostNotices) {
    m_notices.push_back({ aRequest, aChange, aRecord.crashes.size() });
  }
}

std::vector<QuarantineNotice>
Quarantine::TakeNotices()
{
  return std::exchange(m_notices, {});
}

std::vector<QuarantineNotice>
Quarantine::Held(TimePoint aNow) const
{
  std::vector<QuarantineNotice> held;
  for (const auto& [request, record] : m_records) {
    if (HeldFor(request, 0, aNow)) {
      held.push_back(
        { request, QuarantineChange::Quarantined, record.crashes.size() });
    }
  }
  return held;
}

}
