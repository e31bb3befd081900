#include "gateway/gateway.h"

#include "base/logline.h"
#include "base/processmemory.h"
#include "eventloop/eventloop.h"
#include "gateway/storeupdateserver.h"

#include <fmt/format.h>

//! The gateway's pages for the load balancer and for operators.
namespace hemlockgauge::gateway {

namespace {

//! A new peak of the buffered bytes is logged if it exceeds the one logged last
//! by this many bytes.
constexpr std::size_t kBufferPeakStep = 4194304;

}

//! Logs what the router buffers when it has never buffered as much. A process
//! that is ended for its memory writes no line at its end.
void
Gateway::LogBuffers()
{
  const auto peak = m_buffers.Peak();
  if (peak < m_loggedBufferPeak + kBufferPeakStep) {
    return;
  }
  m_loggedBufferPeak = peak;
  base::LogLine line("buffer-peak");
  line.Add("peak_bytes", static_cast<std::uint64_t>(peak))
    .Add("resident_bytes", static_cast<std::uint64_t>(base::ResidentBytes()));
  for (std::size_t i = 0; i < base::kBufferUseCount; ++i) {
    const auto use = static_cast<base::BufferUse>(i);
    line.Add(base::kBufferUseNames.NameOf(use),
             static_cast<std::uint64_t>(m_buffers.Held(use)));
  }
  line.Add("running", static_cast<std::uint64_t>(m_exchanges.size()))
    .Add("connections", static_cast<std::uint64_t>(m_connections.Size()))
    .Warn();
}

void
Gateway::PublishGauges(base::TimePoint aNow)
{
  const auto set = [&](const char* aName, double aValue) {
    m_metrics.Set(aName, aValue);
  };
  set("running", static_cast<double>(m_exchanges.size()));
  set("requests_waiting", static_cast<double>(m_exchangeQueue.Size()));
  set("upstreams_with_stated_load",
      static_cast<double>(m_fleet.Stated().Size()));
  const auto retries = m_fleet.ScheduledRetries(m_loop.Now());
  set("scheduled_retry_cost", retries.entitled + retries.others);
  set("callback_failures", static_cast<double>(m_loop.CallbackFailures()));
  set("callers", static_cast<double>(m_connections.Size()));
  set("upstream_connections", static_cast<double>(m_pool.OpenCount()));
  set("upstream_connections_opened", static_cast<double>(m_pool.TotalOpened()));
  set("upstreams_listed",
      static_cast<double>(m_fleet.Upstreams().Entries().size()));
  set("upstreams_examined", static_cast<double>(m_fleet.UpstreamsExamined()));
  set("routers_heard", static_cast<double>(m_fleet.Peers().RouterCount()));
  set("requests_suspected",
      static_cast<double>(m_fleet.Quarantined().SuspectCount()));
  const auto refused = m_fleet.Quarantined().RefusedTraits(aNow);
  const auto parts =
    std::count_if(refused.begin(), refused.end(), [](const auto& aNotice) {
      return aNotice.trait.kind == quarantine::TraitKind::PromptPart;
    });
  set("requests_quarantined", static_cast<double>(refused.size() - parts));
  set("prompt_parts_quarantined", static_cast<double>(parts));
  set("suspects_evicted",
      static_cast<double>(m_fleet.Quarantined().EvictedCount()));
  set("upstreams_leaving",
      static_cast<double>(m_fleet.Signals().LeavingCount()));
  set("upstreams_paused",
      static_cast<double>(m_fleet.Signals().PausedCount(aNow)));
  for (std::size_t i = 0; i < base::kBufferUseCount; ++i) {
    const auto use = static_cast<base::BufferUse>(i);
    m_metrics.Set(fmt::format("buffered_bytes{{use=\"{}\"}}",
                              base::kBufferUseNames.NameOf(use)),
                  static_cast<double>(m_buffers.Held(use)));
  }
  set("buffered_bytes_limit", static_cast<double>(m_buffers.Limit()));
  set("buffered_bytes_peak", static_cast<double>(m_buffers.Peak()));
  set("resident_bytes", static_cast<double>(base::ResidentBytes()));
  const auto& streams = m_streamVersions.Records();
  set("stream_records", static_cast<double>(streams.Size()));
  set("stream_records_evicted", static_cast<double>(streams.Evicted()));
  set("zones_evacuated",
      static_cast<double>(m_fleet.Evacuated().InForce().size()));
  set("config_version", static_cast<double>(m_fleet.ConfigVersion()));
  set("config_age_ms",
      static_cast<double>(m_fleet.ConfigFreshness().Age(aNow).count()));
}

std::string
Gateway::StatusText() const
{
  const auto now = m_loop.Now();
  auto text = fmt::format(
    "router={} ready={} draining={} config={} config_age_ms={} source={} "
    "routers_seen={} running={} callers={}\n",
    m_settings.id,
    IsReady() ? "yes" : "no",
    m_stopBeganAt ? "yes" : "no",
    m_fleet.ConfigVersion(),
    m_fleet.ConfigFreshness().Age(now).count(),
    fleet::kSourceKindNames.NameOf(m_sourceSelector.Current().kind),
    m_fleet.Peers().RouterCount(),
    m_exchanges.size(),
    m_connections.Size());
  for (const auto& upstream : m_fleet.Status(now)) {
    text += fmt::format("upstream={} service={} version={} "
                        "draining={} leaving={} "
                        "evacuated={} "
                        "cold_ms={} paused_ms={} ejected={} "
                        "unread_tokens={:.0f} running={} read_rate={:.1f} "
                        "first_token_fixed_ms={:.0f} "
                        "failure_part={:.2f}\n",
                        upstream.id,
                        upstream.service,
                        upstream.softwareVersion,
                        upstream.draining ? "yes" : "no",
                        upstream.leaving ? "yes" : "no",
                        upstream.evacuated ? "yes" : "no",
                        upstream.coldFor.count(),
                        upstream.pausedFor.count(),
                        upstream.ejected ? "yes" : "no",
                        upstream.unreadTokens,
                        upstream.running,
                        upstream.prefillRate,
                        upstream.fixedFirstTokenMs,
                        upstream.failureRatio);
  }
  for (const auto& evacuation : m_fleet.Evacuated().InForce()) {
    text += fmt::format("evacuated_zone={} revision={} upstreams={}\n",
                        evacuation.zone,
                        evacuation.revision,
                        m_fleet.CountUpstreamsInZone(evacuation.zone));
  }
  for (const auto& held : m_fleet.Quarantined().RefusedTraits(now)) {
    text += fmt::format("quarantined={} crashes={} answers={} "
                        "last_crash_ms={}\n",
                        quarantine::TraitText(held.trait),
                        held.crashes,
                        held.answers,
                        held.lastCrashAge.count());
  }
  return text;
}

ProbePage
Gateway::ServePage(const std::string& aTarget)
{
  if (aTarget == "/readyz") {
    const bool ready = IsReady();
    return { ready ? 200 : 503, "text/plain", ready ? "ready\n" : "no\n" };
  }
  if (aTarget == "/healthz") {
    return { 200, "text/plain", "ok\n" };
  }
  if (aTarget == "/status") {
    return { 200, "text/plain", StatusText() };
  }
  if (aTarget == "/metrics") {
    PublishGauges(m_loop.Now());
    return { 200, "text/plain; version=0.0.4", m_metrics.Text() };
  }
  return { 404, "text/plain", "no such page\n" };
}

}
