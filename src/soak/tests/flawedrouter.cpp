#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "flaweddialects.h"
#include "gateway/gateway.h"
#include "gateway/gatewaysettings.h"
#include "platform/platformcallers.h"
#include "platform/platformstore.h"
#include "platform/platformupstreams.h"

#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "file with this router's settings (INI)");

//! A router that is broken on purpose, for the soak to catch. The flaw is
//! named by the environment, for the soak starts it like any other router.
using namespace hemlockgauge;

namespace {

constexpr auto kFlawVariable = "HEMLOCKGAUGE_FLAW";
constexpr base::Duration kSignalPeriod(20);
constexpr int kExitBad = 1;
constexpr int kExitCut = 2;
//! Shorter than any request takes.
constexpr base::Duration kNoGrace(1);

std::atomic<int> stopRequests{ 0 };

int
Run(soak::Flaw aFlaw)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGTERM, [](int) { stopRequests++; });
  auto settings = gateway::ReadGatewaySettings(FLAGS_settings);
  if (aFlaw == soak::Flaw::StopsAtOnce) {
    settings.stopGracePeriod = kNoGrace;
  }
  eventloop::EventLoop loop;
  const platformadapter::PlatformCallers callers;
  const platformadapter::PlatformUpstreams upstreams;
  const platformadapter::PlatformStore store(settings.store);
  const soak::FlawedCallers flawedCallers(aFlaw, callers);
  const soak::FlawedUpstreams flawedUpstreams(aFlaw, upstreams);
  const soak::FlawedStore flawedStore(aFlaw, store);
  const auto life = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  gateway::Gateway router(loop,
                          settings,
                          { flawedCallers, flawedUpstreams, flawedStore },
                          static_cast<std::uint64_t>(life.count()));
  router.Start();
  loop.Subscribe(kSignalPeriod, [&] {
    if (stopRequests > 0) {
      router.BeginStop();
    }
  });
  loop.Run();
  return router.RequestsAborted() == 0 ? 0 : kExitCut;
}

}

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    const char* name = std::getenv(kFlawVariable);
    const auto flaw = soak::kFlawNames.ValueOf(name == nullptr ? "" : name);
    if (!flaw) {
      std::cerr << kFlawVariable << " names no flaw\n";
      return kExitBad;
    }
    return Run(*flaw);
  } catch (const base::Error& error) {
    std::cerr << error.what() << "\n";
    return kExitBad;
  }
}
