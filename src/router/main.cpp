#include "base/error.h"
#include "base/logline.h"
#include "document/settingsparser.h"
#include "router/routermodule.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "file with this router's settings (INI)");
DEFINE_bool(check, false, "only check the settings and exit");

using namespace hemlockgauge;

namespace {

constexpr int kExitBadSettings = 1;
//! How long a reader of the log may take for the last lines.
constexpr int kLastLinesMs = 500;

}

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "--settings=FILE [--check]\n"
    "Exit codes: 0 stopped with nothing cut, 1 bad settings or no listener,\n"
    "2 stopped and something was cut.");
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
    base::FlushLog(kLastLinesMs);
    return code;
  } catch (const base::Error& error) {
    std::cerr << error.what() << "\n";
    return kExitBadSettings;
  }
}
