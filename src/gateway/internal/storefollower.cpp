#include "gateway/storefollower.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "metrics/metrics.h"

#include <algorithm>

namespace hemlockgauge::gateway {

namespace {

using namespace std::chrono_literals;

//! How long the store holds a watch open without a change. Each response
//! confirms the known content, so this must be a fraction of the time for which
//! API keys may be used unconfirmed; a shorter wait costs more calls.
constexpr base::Duration kWatchWait = 1000ms;
//! Time beyond a call's own wait after which its connection is considered dead.
constexpr base::Duration kCallLimit = 900ms;
//! Backoff after the first failed call; doubles with each further one.
constexpr base::Duration kFirstPause = 50ms;
//! Delay of the next call after a change, so that changes that come close
//! together arrive in one response. A twentieth of the shortest revocation
//! bound.
constexpr base::Duration kGather = 100ms;
//! A listing that fails after this time is restarted, because its first page
//! is too old.
constexpr base::Duration kListingKept = 3000ms;
constexpr int kOk = 200;
constexpr int kHistoryGone = 410;
//! Bytes of a response body beyond which further data is dropped.
constexpr std::size_t kMostBody = 16U << 20;

}

StoreFollower::StoreFollower(eventloop::EventLoop& aLoop,
                             const base::Address& aStore,
                             const IStoreDialect& aDialect,
                             INewsEvents& aEvents,
                             metrics::Metrics& aMetrics,
                             fleet::StoreEra& aEra,
                             base::Duration aMostPause)
  : m_loop(aLoop)
  , m_address(aStore)
  , m_dialect(aDialect)
  , m_events(aEvents)
  , m_metrics(aMetrics)
  , m_era(aEra)
  , m_mostPause(aMostPause)
{
}

StoreFollower::~StoreFollower()
{
  DropConnection();
}

void
StoreFollower::Tick(base::TimePoint aNow)
{
  if (!m_calling) {
    if (aNow >= m_nextCallAt) {
      Call();
    }
    return;
  }
  const auto own = m_step == Step::Watch ? kWatchWait : 0ms;
  if (aNow - m_calledAt > own + kCallLimit) {
    Fail("response timeout");
  }
}

void
StoreFollower::Call()
{
  m_calling = true;
  m_calledAt = m_loop.Now();
  m_status = 0;
  m_headers = {};
  m_body.clear();
  if (m_step == Step::List && m_listAfter.empty()) {
    m_listBeganAt = m_calledAt;
    m_listRevision = 0;
    m_listed.clear();
    m_listedEvacuations.clear();
    m_listedConfig.clear();
  }
  m_metrics.Count("store_calls_total");
  auto request = m_step == Step::List
                   ? m_dialect.EncodeList(m_listAfter)
                   : m_dialect.EncodeWatch(m_revision, kWatchWait);
  if (!m_connection || !m_connection->IsOpen()) {
    DropConnection();
    m_connection =
      std::make_unique<http::ClientConnection>(m_loop, m_address, *this);
  }
  m_connection->Send(std::move(request));
}

http::IClientEvents::HeadVerdict
StoreFollower::OnAnswerHead(http::ClientConnection&, http::ResponseHead&& aHead)
{
  m_status = aHead.status;
  m_headers = std::move(aHead.headers);
  return HeadVerdict::Take;
}

void
StoreFollower::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  if (m_body.size() + aBytes.size() <= kMostBody) {
    m_body += aBytes;
  }
}

void
StoreFollower::OnAnswerEnd(http::ClientConnection&, bool)
{
  m_calling = false;
  try {
    TakeAnswer();
  } catch (const base::Error& error) {
    Fail(error.what());
  }
}

void
StoreFollower::ListAgain()
{
  m_step = Step::List;
  m_listAfter.clear();
  m_placeEra.reset();
}

bool
StoreFollower::FollowEra()
{
  const auto era = m_dialect.DecodeEra(m_headers);
  if (!era) {
    return true;
  }
  const auto now = m_loop.Now();
  const auto before = m_era.Era();
  if (!m_era.Seen(*era, now)) {
    throw base::Error(base::ErrorCode::BadValue,
                      "store era " + std::to_string(*era) +
                        " is earlier than the known era " +
                        std::to_string(before));
  }
  const bool moved = m_placeEra && *m_placeEra != *era;
  if (!moved && m_era.IsSettled(now)) {
    m_placeEra = era;
    return true;
  }
  m_metrics.Count("store_eras_total");
  base::LogLine("store-came-from-copy")
    .Add("era", *era)
    .Add("known", before)
    .Add("revision", m_revision)
    .Warn();
  ListAgain();
  m_nextCallAt = std::max(now, m_era.SettledAt());
  return false;
}

void
StoreFollower::TakeAnswer()
{
  if (!FollowEra()) {
    return;
  }
  if (m_status == kHistoryGone && m_step == Step::Watch) {
    base::LogLine("store-history-gone").Add("revision", m_revision).Info();
    ListAgain();
    Call();
    return;
  }
  if (m_status != kOk) {
    Fail("HTTP status " + std::to_string(m_status));
    return;
  }
  //! NOTE the store counts as reachable only after its response was decoded.
  const bool watched = m_step == Step::Watch;
  const auto page =
    watched ? m_dialect.DecodeWatch(m_body) : m_dialect.DecodeList(m_body);
  TakeReturn();
  const bool changed = watched ? TakeWatch(page) : TakeList(page);
  if (watched && changed) {
    m_nextCallAt = m_loop.Now() + kGather;
    return;
  }
  Call();
}

void
StoreFollower::TakeReturn()
{
  m_pause = base::Duration{};
  m_everAnswered = true;
  if (m_lost) {
    m_lost = false;
    base::LogLine("store-regained").Info();
  }
  //! NOTE called even if m_lost was false: an earlier follower of this router
  //! may have lost the store.
  m_events.OnStoreReached(m_loop.Now());
}

bool
StoreFollower::TakeList(const StorePage& aPage)
{
  //! NOTE the pages are not a consistent snapshot, so the watch starts at the
  //! revision of the first page.
  if (m_listAfter.empty()) {
    m_listRevision = aPage.revision;
  }
  for (const auto& item : aPage.items) {
    if (const auto* config = std::get_if<StoredConfig>(&item)) {
      m_listedConfig = config->bytes;
    } else if (const auto* upstream = std::get_if<StoredUpstream>(&item)) {
      NoteUnusable(*upstream);
      m_listed.push_back(upstream->entry);
    } else if (const auto* zone = std::get_if<EvacuatedZone>(&item)) {
      m_listedEvacuations.push_back(zone->evacuation);
    } else {
      TakeItem(item);
    }
  }
  if (aPage.hasMore && !aPage.lastKey.empty()) {
    m_listAfter = aPage.lastKey;
    return true;
  }
  m_listAfter.clear();
  m_step = Step::Watch;
  m_revision = m_listRevision;
  if (!m_listedConfig.empty()) {
    m_events.OnStoredConfig(m_listedConfig);
  }
  m_events.OnListed(m_listed);
  m_events.OnEvacuations(m_listedEvacuations);
  m_events.OnProven(m_listBeganAt);
  m_listed.clear();
  m_listedEvacuations.clear();
  m_listedConfig.clear();
  return true;
}

bool
StoreFollower::TakeWatch(const StorePage& aPage)
{
  for (const auto& item : aPage.items) {
    TakeItem(item);
  }
  m_revision = std::max(m_revision, aPage.revision);
  m_events.OnProven(m_calledAt);
  return !aPage.items.empty();
}

void
StoreFollower::TakeItem(const StoreItem& aItem)
{
  if (const auto* config = std::get_if<StoredConfig>(&aItem)) {
    m_events.OnStoredConfig(config->bytes);
  } else if (const auto* upstream = std::get_if<StoredUpstream>(&aItem)) {
    NoteUnusable(*upstream);
    m_events.OnUpstream(upstream->entry);
  } else if (const auto* removed = std::get_if<RemovedUpstream>(&aItem)) {
    m_events.OnRemoved(removed->id);
  } else if (const auto* evacuated = std::get_if<EvacuatedZone>(&aItem)) {
    m_events.OnEvacuated(evacuated->evacuation);
  } else if (const auto* restored = std::get_if<RestoredZone>(&aItem)) {
    m_events.OnRestored(restored->zone);
  } else if (const auto* ignored = std::get_if<IgnoredItem>(&aItem)) {
    m_metrics.Count("store_items_ignored_total");
    base::LogLine("store-item-ignored")
      .Add("key", ignored->key)
      .Add("why", ignored->why)
      .Warn();
  }
}

void
StoreFollower::NoteUnusable(const StoredUpstream& aUpstream)
{
  if (aUpstream.entry.usable) {
    return;
  }
  m_metrics.Count("upstream_entries_unusable_total");
  base::LogLine("upstream-entry-unusable")
    .Add("upstream", aUpstream.entry.id)
    .Add("why", aUpstream.why)
    .Warn();
}

void
StoreFollower::OnFailed(http::ClientConnection&, http::ClientFailure aFailure)
{
  Fail(std::string(http::kClientFailureNames.NameOf(aFailure)));
}

void
StoreFollower::OnIdleClosed(http::ClientConnection&)
{
  DropConnection();
}

void
StoreFollower::DropConnection()
{
  if (!m_connection) {
    return;
  }
  m_connection->Close();
  //! NOTE this may be called from inside a callback of the connection.
  m_loop.DeleteLater(std::move(m_connection));
}

void
StoreFollower::Fail(const std::string& aWhy)
{
  m_calling = false;
  //! NOTE a listing resumes at the page that failed. If it restarted with each
  //! refused call, it would never finish while many routers list the store.
  if (m_loop.Now() - m_listBeganAt > kListingKept) {
    m_listAfter.clear();
  }
  DropConnection();
  m_pause = std::clamp(m_pause * 2, kFirstPause, m_mostPause);
  m_nextCallAt = m_loop.Now() + m_pause;
  m_metrics.Count("store_failures_total");
  if (m_lost) {
    return;
  }
  m_lost = true;
  base::LogLine("store-lost")
    .Add("why", aWhy)
    .Add("ever_answered", m_everAnswered ? "yes" : "no")
    .Warn();
  m_events.OnStoreLost(aWhy);
}

}
