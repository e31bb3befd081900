#include "router/routermodule.h"

#include "base/logline.h"
#include "metrics/metrics.h"
#include "peer/ipeertransport.h"
#include "peer/peermodule.h"
#include "platform/iplatformclient.h"
#include "platform/platformmodule.h"
#include "router/internal/control.h"
#include "timer/itimerservice.h"
#include "timer/timermodule.h"
#include "traffic/itraffic.h"
#include "traffic/trafficmodule.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <chrono>
#include <csignal>

namespace hemlockgauge::router {

namespace {

//! Returns tenths of a second since 2026 by the system clock: increases at each
//! start without storing a counter on disk.
std::uint32_t
NewIncarnation()
{
  using namespace std::chrono;
  constexpr auto kStart = sys_days(year(2026) / 1 / 1);
  const auto since = system_clock::now() - kStart;
  return static_cast<std::uint32_t>(duration_cast<milliseconds>(since).count() /
                                    100);
}

void
OnStopSignal(int)
{
  Control::RequestStop();
}

}

int
RunRouter(const document::RouterSettings& aSettings)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  const auto incarnation = NewIncarnation();
  ACE_Dev_Poll_Reactor poller;
  ACE_Reactor reactor(&poller);
  metrics::Metrics metrics;
  const auto timers = timer::MakeTimerService(reactor);
  const auto peers = peer::MakePeerTransport(reactor, *timers);
  const auto platform = platform::MakePlatformClient(aSettings.platform);
  const auto traffic = traffic::MakeTraffic(aSettings, incarnation, metrics);
  const ControlServices services{ reactor,   *timers,  *peers,
                                  *platform, *traffic, metrics };
  Control control(aSettings, incarnation, services);
  control.Start();
  base::LogLine("started")
    .Add("router", aSettings.id)
    .Add("availability_zone", aSettings.zone)
    .Add("listen", aSettings.listen.Text())
    .Add("incarnation", incarnation)
    .Info();
  const int code = control.Run();
  platform->Stop();
  peers->Close();
  return code;
}

}
