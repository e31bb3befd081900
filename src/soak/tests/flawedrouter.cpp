#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "flawedcodecs.h"
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

//! Router with a deliberate flaw that the soak test must detect. The flaw is
//! named by an environment variable, because the soak starts this program with
//! the command line of an ordinary router.
using namespace hemlockgauge;

namespace {

constexpr auto kFlawVariable = "HEMLOCKGAUGE_FLAW";
constexpr base::Duration kSignalPeriod(20);
constexpr int kExitError = 1;
constexpr int kExitRequestsCut = 2;
//! Grace period of a stop, in ms; shorter than any request takes.
constexpr base::Duration kMinGracePeriod(1);

std::atomic<int> stopRequests{ 0 };

int
Run(soak::Flaw aFlaw)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGTERM, [](int) { stopRequests++; });
  auto settings = gateway::ReadGatewaySettings(FLAGS_settings);
  if (aFlaw == soak::Flaw::StopsWithoutDrain) {
    settings.stopGracePeriod = kMinGracePeriod;
  }
  eventloop::EventLoop loop;
  const platformadapter::PlatformCallers callers;
  const platformadapter::PlatformUpstreams upstreams;
  const platformadapter::PlatformStore store(settings.store);
  const soak::FlawedCallerCodec flawedCallers(aFlaw, callers);
  const soak::FlawedUpstreamCodec flawedUpstreams(aFlaw, upstreams);
  const soak::FlawedStoreCodec flawedStore(aFlaw, store);
  const auto incarnation =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  gateway::Gateway router(loop,
                          settings,
                          { flawedCallers, flawedUpstreams, flawedStore },
                          static_cast<std::uint64_t>(incarnation.count()));
  router.Start();
  loop.SchedulePeriodic(kSignalPeriod, [&] {
    if (stopRequests > 0) {
      router.BeginStop();
    }
  });
  loop.Run();
  return router.RequestsAborted() == 0 ? 0 : kExitRequestsCut;
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
      std::cerr << kFlawVariable << ": expected the name of a flaw\n";
      return kExitError;
    }
    return Run(*flaw);
  } catch (const base::Error& error) {
    std::cerr << error.what() << "\n";
    return kExitError;
  }
}
