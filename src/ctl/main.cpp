#include "ctl/commands.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

DEFINE_string(router, "127.0.0.1:8300", "operators' address of any router");
DEFINE_bool(json, false, "status: print the pages as JSON");

using hemlockgauge::ctl::ExitCode;

namespace {

constexpr const char* kUsage =
  "hemlockgaugectl [--router=IP:PORT] COMMAND\n"
  "  check DOCUMENT        whether routers would accept it\n"
  "  diff OLD NEW          the effect of a change, in words\n"
  "  status [--json]       the fleet at handover\n"
  "  explain REQUEST-ID    the decisions taken for one request\n"
  "It reads and explains, and changes nothing.\n"
  "Exit codes: 0 good, 1 refused or unknown, 2 bad use, 3 no router\n"
  "answers, 4 status shows an alarm.";

ExitCode
RunCommand(const std::vector<std::string>& aWords)
{
  using namespace hemlockgauge;
  const std::string command = aWords.empty() ? "" : aWords[0];
  if (command == "check" && aWords.size() == 2) {
    return ctl::Check(aWords[1]);
  }
  if (command == "diff" && aWords.size() == 3) {
    return ctl::Diff(aWords[1], aWords[2]);
  }
  if (command == "status" && aWords.size() == 1) {
    return ctl::Status(FLAGS_router, FLAGS_json);
  }
  if (command == "explain" && aWords.size() == 2) {
    return ctl::Explain(FLAGS_router, aWords[1]);
  }
  std::cerr << kUsage << "\n";
  return ExitCode::BadUse;
}

}

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(RunCommand(words));
}
