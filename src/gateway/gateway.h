#pragma once

#include "base/basetypes.h"
#include "base/logratelimiter.h"
#include "fleet/exchangeclock.h"
#include "fleet/fleet.h"
#include "fleet/membership.h"
#include "fleet/sourceoptions.h"
#include "fleet/sourceselector.h"
#include "fleet/storechangelog.h"
#include "fleet/storeera.h"
#include "gateway/callerintake.h"
#include "gateway/endchecks.h"
#include "gateway/exchangequeue.h"
#include "gateway/gatewaysettings.h"
#include "gateway/gatewaytypes.h"
#include "gateway/internal/exchange.h"
#include "gateway/istoreupdatesource.h"
#include "gateway/probeserver.h"
#include "gateway/streamversions.h"
#include "gateway/upstreamchecks.h"
#include "gateway/upstreampool.h"
#include "http/connectionset.h"
#include "http/listener.h"
#include "http/serverconnection.h"
#include "metrics/metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::gateway {

class ICallerCodec;
class IStoreCodec;
class IUpstreamCodec;
class StoreUpdateServer;
class PeerLink;

//! Codecs between the gateway's types and the formats of callers, upstreams and
//! the platform's store.
struct Codecs
{
  const ICallerCodec& callers;
  const IUpstreamCodec& upstreams;
  const IStoreCodec& store;
};

//! The router process between callers and upstreams. Runs on one thread with
//! one event loop and stores nothing on disk.
class Gateway
  : public http::IServerEvents
  , public IExchangeOwner
  , public IStoreUpdateEvents
{
public:
  Gateway(eventloop::EventLoop& aLoop,
          const GatewaySettings& aSettings,
          const Codecs& aCodecs,
          std::uint64_t aIncarnation);
  ~Gateway() override;

  //! Opens the listening sockets and starts to follow the store. Throws
  //! Error(Unreachable) if an address can't be bound.
  void Start();
  //! Applies the settings that may change at run time and logs whether others
  //! changed, which need a restart.
  void Reload(const GatewaySettings& aSettings);
  //! Begins a graceful stop. Stops the event loop once all connections have
  //! closed or the stop grace period is nearly over.
  void BeginStop();
  //! Whether the router has a configuration and the list of upstreams, its API
  //! keys are recent enough, and it is not stopping.
  bool IsReady() const;
  bool IsStopped() const { return m_stopped; }
  //! What the connections and requests buffer.
  const base::BufferBudget& Buffers() const { return m_buffers; }
  //! Number of requests that the stop aborted.
  std::size_t RequestsAborted() const { return m_requestsAborted; }

  void OnRequest(http::ServerConnection& aConnection,
                 http::RequestHead&& aHead,
                 std::string&& aBody) override;
  void OnBadRequest(http::ServerConnection& aConnection,
                    http::Fault aFault) override;
  void OnPeerGone(http::ServerConnection& aConnection) override;
  void OnDrained(http::ServerConnection& aConnection) override;
  void OnClosed(http::ServerConnection& aConnection) override;

  void OnFinished(Exchange& aExchange) override;
  bool IsClosing() const override;

  void OnConfigStored(const std::string& aBytes) override;
  void OnUpstreamsListed(
    const std::vector<fleet::UpstreamEntry>& aEntries) override;
  void OnUpstreamChanged(const fleet::UpstreamEntry& aEntry) override;
  void OnUpstreamRemoved(const std::string& aId) override;
  void OnEvacuationsListed(const std::vector<fleet::Evacuation>& aAll) override;
  void OnZoneEvacuated(const fleet::Evacuation& aEvacuation) override;
  void OnZoneRestored(const std::string& aZone) override;
  void OnProven(base::TimePoint aAt) override;
  void OnStoreLost(const std::string& aWhy) override;
  void OnStoreReached(base::TimePoint aAt) override;
  void OnListProgress() override;

private:
  void Accept(const ACE_SOCK_Stream& aStream);
  void UpdateListenerPause();
  void LogIntake(base::TimePoint aNow);
  void LogBuffers();
  //! Does what is due now, see NextTickAt.
  void TickFast();
  //! Whether something is in progress that takes part in every step of the
  //! exchange or answers other routers.
  bool NeedsEveryStep() const;
  //! Returns when TickFast must be called next. A router that only follows
  //! others and has no requests at their time limits wakes up for its own
  //! reports alone.
  base::TimePoint NextTickAt(base::TimePoint aNow,
                             base::Duration aTimeOfDay) const;
  void TickSlow();
  void ContinueStop(base::TimePoint aNow);
  void CheckUpstreams(base::TimePoint aNow);
  void HandleCheckResult(base::UpstreamId aUpstream,
                         quarantine::CheckResult aResult);
  void LogCrashedRuns(const fleet::CheckNotice& aNotice);
  void HandleEntryNotices(const std::vector<fleet::EntryNotice>& aNotices);
  void LogEntryCounts(const std::vector<fleet::EntryNotice>& aNotices);
  void ApplyUpstreamList();
  void HandleZoneNotices(const std::vector<fleet::ZoneNotice>& aNotices);
  bool SetConfig(fleet::ConfigPtr aConfig);
  void UpdateSourceOptions(const fleet::ExchangePlan& aPlan,
                           base::TimePoint aNow);
  void TickSource(base::TimePoint aNow);
  void OpenSource();
  bool ExpectsList() const;
  bool IsStoredConfigCurrent() const;
  void HandleReport(const fleet::PeerReport& aReport,
                    const base::Address& aFrom);
  //! Sends the reports of one stage. aPeriod counts report periods by the time
  //! of day and is the same at all routers.
  void SendReports(fleet::ExchangeStage aStage,
                   std::uint64_t aPeriod,
                   base::TimePoint aNow);
  void SendOwnReport(base::TimePoint aNow);
  void SendGroupSum(base::TimePoint aNow);
  void SendZoneSum(base::TimePoint aNow);
  void RelayZoneReport(const fleet::PeerReport& aReport);
  void PublishGauges(base::TimePoint aNow);
  std::string StatusText() const;
  ProbePage ServePage(const std::string& aTarget);

  eventloop::EventLoop& m_loop;
  GatewaySettings m_settings;
  Codecs m_codecs;
  metrics::Metrics m_metrics;
  fleet::Fleet m_fleet;
  base::LogRateLimiter m_logBudget;
  base::BufferBudget m_buffers;
  std::size_t m_loggedBufferPeak = 0;
  std::size_t m_maxCallers = 0; //!< connections of callers
  UpstreamPool m_pool;
  UpstreamChecks m_checks;
  EndChecks m_endChecks;
  base::CallerLimits m_limits;
  http::ConnectionSet m_connections;
  fleet::Membership m_membership;
  StreamVersions m_streamVersions;
  ExchangeQueue m_exchangeQueue;
  std::uint64_t m_streamMembersPlan = 0; //!< plan that m_streamVersions follows
  //! After what exchanges use until they are destroyed.
  std::map<Exchange*, std::unique_ptr<Exchange>> m_exchanges;
  fleet::StoreChangeLog m_storeChangeLog;
  //! When this router last got a response from the store itself.
  base::TimePoint m_storeAnsweredAt{ base::TimePoint::min() / 2 };
  bool m_upstreamListChanged =
    false; //!< since the last call of ApplyUpstreamList
  fleet::SourceSelector m_sourceSelector;
  fleet::StoreEra m_storeEra;
  //! Version of the configuration that the current source sent last.
  std::optional<std::uint64_t> m_storedConfigVersion;
  fleet::FreshestReader m_freshestReader;
  //! The store was last known to hold the content of m_storeChangeLog at this
  //! time. API keys may have been confirmed later, by reports of other routers,
  //! which say nothing about upstreams.
  base::TimePoint m_storeProvenAt{ base::TimePoint::min() / 2 };
  std::optional<fleet::StoreSource>
    m_openSource; //!< the source that m_storeUpdateSource follows
  std::unique_ptr<IStoreUpdateSource> m_storeUpdateSource;
  std::unique_ptr<StoreUpdateServer> m_storeUpdateServer;
  std::unique_ptr<PeerLink> m_peerLink;
  fleet::ExchangeClock m_exchangeClock;
  fleet::ExchangePlan m_plan;    //!< in use since the last own report
  fleet::PeerReport m_ownReport; //!< the last one sent
  std::unique_ptr<ProbeServer> m_probeServer;
  std::unique_ptr<http::Listener> m_listener;
  std::optional<base::TimePoint> m_stopBeganAt;
  bool m_loggedReady = false; //!< as last logged
  bool m_stopped = false;
  std::size_t m_requestsAborted = 0;
  CallerIntake m_intake; //!< counts since m_intakeLoggedAt
  base::TimePoint m_intakeLoggedAt{};
  base::TimePoint m_startedAt{};
  base::TimePoint m_lastTick{};
};

}
