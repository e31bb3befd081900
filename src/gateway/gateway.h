#pragma once

#include "base/basetypes.h"
#include "base/logbudget.h"
#include "fleet/exchangeclock.h"
#include "fleet/fleet.h"
#include "fleet/membership.h"
#include "fleet/newslog.h"
#include "fleet/sourceoptions.h"
#include "fleet/sourcepolicy.h"
#include "fleet/storeera.h"
#include "gateway/callerintake.h"
#include "gateway/gatewaysettings.h"
#include "gateway/gatewaytypes.h"
#include "gateway/inewssource.h"
#include "gateway/internal/exchange.h"
#include "gateway/probeserver.h"
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

class ICallerDialect;
class IStoreDialect;
class IUpstreamDialect;
class NewsServer;
class PeerLink;

//! The ways to spell things that a gateway is wired with.
struct Dialects
{
  const ICallerDialect& callers;
  const IUpstreamDialect& upstreams;
  const IStoreDialect& store;
};

//! A router between callers and upstreams: one thread, one loop, no disk.
class Gateway
  : public http::IServerEvents
  , public IExchangeOwner
  , public INewsEvents
{
public:
  Gateway(eventloop::EventLoop& aLoop,
          const GatewaySettings& aSettings,
          const Dialects& aDialects,
          std::uint64_t aLife);
  ~Gateway() override;

  //! Listens and begins to follow the store. Throws Error(Unreachable).
  void Start();
  //! Takes over what may change while it runs; says what may not.
  void Reload(const GatewaySettings& aSettings);
  //! Begins a graceful stop; the loop is stopped when it is over.
  void BeginStop();
  bool IsReady() const;
  bool IsStopped() const { return m_stopped; }
  //! Requests that were cut by the stop.
  std::size_t Cut() const { return m_cut; }

  void OnRequest(http::ServerConnection& aConnection,
                 http::RequestHead&& aHead,
                 std::string&& aBody) override;
  void OnBadRequest(http::ServerConnection& aConnection,
                    http::Fault aFault) override;
  void OnPeerGone(http::ServerConnection& aConnection) override;
  void OnDrained(http::ServerConnection& aConnection) override;
  void OnClosed(http::ServerConnection& aConnection) override;

  void OnOver(Exchange& aExchange) override;
  bool IsClosing() const override;

  void OnStoredConfig(const std::string& aBytes) override;
  void OnListed(const std::vector<fleet::UpstreamEntry>& aEntries) override;
  void OnUpstream(const fleet::UpstreamEntry& aEntry) override;
  void OnRemoved(const std::string& aId) override;
  void OnEvacuations(const std::vector<fleet::Evacuation>& aAll) override;
  void OnEvacuated(const fleet::Evacuation& aEvacuation) override;
  void OnRestored(const std::string& aZone) override;
  void OnProven(base::TimePoint aAt) override;
  void OnStoreLost(const std::string& aWhy) override;
  void OnStoreReached(base::TimePoint aAt) override;

private:
  void Accept(const ACE_SOCK_Stream& aStream);
  void FollowRoom();
  void ReportIntake(base::TimePoint aNow);
  void TickFast();
  void TickSlow();
  void FollowStop(base::TimePoint aNow);
  void CheckUpstreams(base::TimePoint aNow);
  void TakeCheck(base::UpstreamId aUpstream, quarantine::CheckResult aResult);
  void TakeNotices(const std::vector<fleet::EntryNotice>& aNotices);
  void FollowList();
  void TakeZones(const std::vector<fleet::ZoneNotice>& aNotices);
  bool SetConfig(fleet::ConfigPtr aConfig);
  void ChooseSource(const fleet::ExchangePlan& aPlan, base::TimePoint aNow);
  void FollowSource(base::TimePoint aNow);
  void OpenSource();
  bool ReadsStore() const;
  bool IsNewestStored() const;
  void TakeReport(const fleet::PeerReport& aReport, const base::Address& aFrom);
  //! aPeriod: by the time of day, the same at all routers.
  void TellOthers(fleet::ExchangeStage aStage,
                  std::uint64_t aPeriod,
                  base::TimePoint aNow);
  void TellOwn(base::TimePoint aNow);
  void TellOtherZones(base::TimePoint aNow);
  void Relay(const fleet::PeerReport& aReport);
  void PublishGauges(base::TimePoint aNow);
  std::string StatusText() const;
  ProbePage Page(const std::string& aTarget);

  eventloop::EventLoop& m_loop;
  GatewaySettings m_settings;
  Dialects m_dialects;
  metrics::Metrics m_metrics;
  fleet::Fleet m_fleet;
  base::LogBudget m_logBudget;
  UpstreamPool m_pool;
  UpstreamChecks m_checks;
  base::CallerLimits m_limits;
  http::ConnectionSet m_connections;
  std::map<Exchange*, std::unique_ptr<Exchange>> m_exchanges;
  fleet::NewsLog m_newsLog;
  //! When the store itself answered this router last.
  base::TimePoint m_storeAnsweredAt{ base::TimePoint::min() / 2 };
  bool m_listChanged = false; //!< since FollowList
  fleet::SourcePolicy m_sources;
  fleet::StoreEra m_storeEra;
  //! The configuration's version as the source of news told it last.
  std::optional<std::uint64_t> m_storedVersion;
  fleet::KnownReader m_knownReader;
  //! When all that m_newsLog tells held. Keys may be proven by more: the
  //! reports of others say nothing of upstreams.
  base::TimePoint m_newsProvenAt{ base::TimePoint::min() / 2 };
  std::optional<fleet::NewsSource> m_opened; //!< what m_news follows
  std::unique_ptr<INewsSource> m_news;
  std::unique_ptr<NewsServer> m_newsServer;
  fleet::Membership m_members;
  std::unique_ptr<PeerLink> m_peers;
  fleet::ExchangeClock m_exchangeClock;
  fleet::ExchangePlan m_plan;    //!< of the last own report
  fleet::PeerReport m_ownReport; //!< the last one
  std::unique_ptr<ProbeServer> m_probes;
  std::unique_ptr<http::Listener> m_listener;
  std::optional<base::TimePoint> m_stopBeganAt;
  bool m_ready = false;
  bool m_stopped = false;
  std::size_t m_cut = 0;
  CallerIntake m_intake; //!< since m_intakeReportedAt
  base::TimePoint m_intakeReportedAt{};
  base::TimePoint m_startedAt{};
  base::TimePoint m_lastTick{};
};

}
