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
constexpr base::Duration kWatchTimeout = 1000ms;
//! Time beyond a call's own wait after which its connection is considered dead.
constexpr base::Duration kCallTimeout = 900ms;
//! Backoff after the first failed call; doubles with each further one.
constexpr base::Duration kMinBackoff = 50ms;
//! Delay of the next call after a change, so that changes that come close
//! together arrive in one response. A twentieth of the shortest revocation
//! bound.
constexpr base::Duration kChangeBatchDelay = 100ms;
//! A listing that fails after this time is restarted, because its first page
//! is too old.
constexpr base::Duration kMaxListingAge = 3000ms;
constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;
//! Bytes of a response body beyond which further data is dropped.
constexpr std::size_t kMaxBodyBytes = 16U << 20;

}

StoreFollower::StoreFollower(eventloop::EventLoop& aLoop,
                             const base::Address& aStore,
                             const IStoreCodec& aCodec,
                             IStoreUpdateEvents& aEvents,
                             metrics::Metrics& aMetrics,
                             fleet::StoreEra& aEra,
                             base::Duration aMaxBackoff)
  : m_loop(aLoop)
  , m_address(aStore)
  , m_codec(aCodec)
  , m_events(aEvents)
  , m_metrics(aMetrics)
  , m_era(aEra)
  , m_maxBackoff(aMaxBackoff)
{
}

StoreFollower::~StoreFollower()
{
  DropConnection();
}

void
StoreFollower::Tick(base::TimePoint aNow)
{
  if (!m_callPending) {
    if (aNow >= m_nextCallAt) {
      StartCall();
    }
    return;
  }
  if (aNow >= ResponseDueAt()) {
    Fail("response timeout");
  }
}

base::TimePoint
StoreFollower::ResponseDueAt() const
{
  const auto wait = m_step == Step::Watch ? kWatchTimeout : 0ms;
  return m_calledAt + wait + kCallTimeout;
}

base::TimePoint
StoreFollower::NextTickAt() const
{
  return m_callPending ? ResponseDueAt() : m_nextCallAt;
}

void
StoreFollower::StartCall()
{
  m_callPending = true;
  m_calledAt = m_loop.Now();
  m_status = 0;
  m_headers = {};
  m_body.clear();
  if (m_step == Step::List && m_listAfterKey.empty()) {
    m_listStartedAt = m_calledAt;
    m_listRevision = 0;
    m_listedUpstreams.clear();
    m_listedEvacuations.clear();
    m_listedConfig.clear();
  }
  m_metrics.Count("store_calls_total");
  auto request = m_step == Step::List
                   ? m_codec.EncodeList(m_listAfterKey)
                   : m_codec.EncodeWatch(m_revision, kWatchTimeout);
  if (!m_connection || !m_connection->IsOpen()) {
    DropConnection();
    m_connection =
      std::make_unique<http::ClientConnection>(m_loop, m_address, *this);
  }
  m_connection->Send(std::move(request));
}

http::IClientEvents::HeadAction
StoreFollower::OnAnswerHead(http::ClientConnection&, http::ResponseHead&& aHead)
{
  m_status = aHead.status;
  m_headers = std::move(aHead.headers);
  return HeadAction::Accept;
}

void
StoreFollower::OnAnswerBody(http::ClientConnection&, std::string_view aBytes)
{
  if (m_body.size() + aBytes.size() <= kMaxBodyBytes) {
    m_body += aBytes;
  }
}

void
StoreFollower::OnAnswerEnd(http::ClientConnection&, bool)
{
  m_callPending = false;
  try {
    HandleResponse();
  } catch (const base::Error& error) {
    Fail(error.what());
  }
}

void
StoreFollower::RestartListing()
{
  m_step = Step::List;
  m_listAfterKey.clear();
  m_revisionEra.reset();
}

bool
StoreFollower::CheckEra()
{
  const auto era = m_codec.DecodeEra(m_headers);
  if (!era) {
    return true;
  }
  const auto now = m_loop.Now();
  const auto knownEra = m_era.Era();
  if (!m_era.Observe(*era, now)) {
    throw base::Error(base::ErrorCode::BadValue,
                      "store era " + std::to_string(*era) +
                        " is earlier than the known era " +
                        std::to_string(knownEra));
  }
  const bool eraChanged = m_revisionEra && *m_revisionEra != *era;
  if (!eraChanged && m_era.IsSettled(now)) {
    m_revisionEra = era;
    return true;
  }
  m_metrics.Count("store_eras_total");
  base::LogLine("store-came-from-copy")
    .Add("era", *era)
    .Add("known", knownEra)
    .Add("revision", m_revision)
    .Warn();
  RestartListing();
  m_nextCallAt = std::max(now, m_era.SettledAt());
  return false;
}

void
StoreFollower::HandleResponse()
{
  if (!CheckEra()) {
    return;
  }
  if (m_status == kHttpGone && m_step == Step::Watch) {
    base::LogLine("store-history-gone").Add("revision", m_revision).Info();
    RestartListing();
    StartCall();
    return;
  }
  if (m_status != kHttpOk) {
    Fail("HTTP status " + std::to_string(m_status));
    return;
  }
  //! NOTE the store counts as reachable only after its response was decoded.
  const bool watched = m_step == Step::Watch;
  const auto page =
    watched ? m_codec.DecodeWatch(m_body) : m_codec.DecodeList(m_body);
  HandleStoreReached();
  const bool changed = watched ? HandleWatchPage(page) : HandleListPage(page);
  if (watched && changed) {
    m_nextCallAt = m_loop.Now() + kChangeBatchDelay;
    return;
  }
  StartCall();
}

void
StoreFollower::HandleStoreReached()
{
  m_backoff = base::Duration{};
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
StoreFollower::HandleListPage(const StorePage& aPage)
{
  //! NOTE the pages are not a consistent snapshot, so the watch starts at the
  //! revision of the first page.
  if (m_listAfterKey.empty()) {
    m_listRevision = aPage.revision;
  }
  for (const auto& item : aPage.items) {
    if (const auto* config = std::get_if<StoredConfig>(&item)) {
      m_listedConfig = config->bytes;
    } else if (const auto* upstream = std::get_if<StoredUpstream>(&item)) {
      LogUnusable(*upstream);
      m_listedUpstreams.push_back(upstream->entry);
    } else if (const auto* zone = std::get_if<EvacuatedZone>(&item)) {
      m_listedEvacuations.push_back(zone->evacuation);
    } else {
      HandleItem(item);
    }
  }
  if (aPage.hasMore && !aPage.lastKey.empty()) {
    m_listAfterKey = aPage.lastKey;
    m_events.OnListProgress();
    return true;
  }
  m_listAfterKey.clear();
  m_step = Step::Watch;
  m_revision = m_listRevision;
  if (!m_listedConfig.empty()) {
    m_events.OnConfigStored(m_listedConfig);
  }
  m_events.OnUpstreamsListed(m_listedUpstreams);
  m_events.OnEvacuationsListed(m_listedEvacuations);
  m_events.OnProven(m_listStartedAt);
  m_listedUpstreams.clear();
  m_listedEvacuations.clear();
  m_listedConfig.clear();
  return true;
}

bool
StoreFollower::HandleWatchPage(const StorePage& aPage)
{
  for (const auto& item : aPage.items) {
    HandleItem(item);
  }
  m_revision = std::max(m_revision, aPage.revision);
  m_events.OnProven(m_calledAt);
  return !aPage.items.empty();
}

void
StoreFollower::HandleItem(const StoreItem& aItem)
{
  if (const auto* config = std::get_if<StoredConfig>(&aItem)) {
    m_events.OnConfigStored(config->bytes);
  } else if (const auto* upstream = std::get_if<StoredUpstream>(&aItem)) {
    LogUnusable(*upstream);
    m_events.OnUpstreamChanged(upstream->entry);
  } else if (const auto* removed = std::get_if<RemovedUpstream>(&aItem)) {
    m_events.OnUpstreamRemoved(removed->id);
  } else if (const auto* evacuated = std::get_if<EvacuatedZone>(&aItem)) {
    m_events.OnZoneEvacuated(evacuated->evacuation);
  } else if (const auto* restored = std::get_if<RestoredZone>(&aItem)) {
    m_events.OnZoneRestored(restored->zone);
  } else if (const auto* ignored = std::get_if<IgnoredItem>(&aItem)) {
    m_metrics.Count("store_items_ignored_total");
    base::LogLine("store-item-ignored")
      .Add("key", ignored->key)
      .Add("why", ignored->why)
      .Warn();
  }
}

void
StoreFollower::LogUnusable(const StoredUpstream& aUpstream)
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
  m_callPending = false;
  //! NOTE a listing resumes at the page that failed. If it restarted with each
  //! refused call, it would never finish while many routers list the store.
  if (m_loop.Now() - m_listStartedAt > kMaxListingAge) {
    m_listAfterKey.clear();
  }
  DropConnection();
  m_backoff = std::clamp(m_backoff * 2, kMinBackoff, m_maxBackoff);
  m_nextCallAt = m_loop.Now() + m_backoff;
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
