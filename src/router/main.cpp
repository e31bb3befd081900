#include "base/error.h"
#include "base/logline.h"
#include "document/settingsparser.h"
#include "router/routermodule.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the router's settings file (INI)");
DEFINE_bool(check, false, "check the settings file and exit");

using namespace hemlockgauge;

namespace {

constexpr int kExitBadSettings = 1;
//! How long exit waits until the log reader has taken the last lines, ms.
constexpr int kLogFlushTimeoutMs = 500;

}

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage("--settings=FILE [--check]\n"
                          "Exit codes: 0 stopped, no request aborted; 1 bad "
                          "settings or no listener;\n"
                          "2 stopped, at least one request aborted.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    const auto settings = document::ParseSettings(
      FLAGS_settings, document::ReadTextFile(FLAGS_settings));
    if (FLAGS_check) {
      std::cout << "settings are good\n";
      return 0;
    }
    base::SetUpLog("hemlockgauge-router", settings.logLevel);
    const int code = router::RunRouter(settings);
    base::FlushLog(kLogFlushTimeoutMs);
    return code;
  } catch (const base::Error& error) {
    std::cerr << error.what() << "\n";
    return kExitBadSettings;
  }
}
