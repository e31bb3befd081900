#include "load/plan.h"

#include "base/error.h"

#include <INIReader.h>

#include <sstream>

namespace hemlockgauge::load {

namespace {

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  std::istringstream stream(aText);
  std::string item;
  while (std::getline(stream, item, ',')) {
    items.push_back(item);
  }
  return items;
}

WorkspacePlan
ReadWorkspace(const INIReader& aIni,
              const std::string& aSection,
              std::size_t aRouterCount)
{
  WorkspacePlan plan;
  const auto number = [&](const char* aKey, double aDefault) {
    return aIni.GetReal(aSection, aKey, aDefault);
  };
  const auto count = [&](const char* aKey, std::uint32_t aDefault) {
    return static_cast<std::uint32_t>(
      aIni.GetInteger(aSection, aKey, aDefault));
  };
  plan.name = aSection.substr(aSection.find(':') + 1);
  plan.service = aIni.Get(aSection, "service", "");
  plan.key = aIni.Get(aSection, "key", "");
  plan.path = aIni.Get(aSection, "path", "");
  plan.stream = aIni.Get(aSection, "kind", "stream") == "stream";
  plan.repeatable = aIni.GetBoolean(aSection, "repeatable", true);
  plan.rate = number("rate", 0);
  plan.closed = count("closed", 0);
  plan.tokensLow = count("tokens_low", 16);
  plan.tokensHigh = count("tokens_high", plan.tokensLow);
  plan.promptBytes = count("prompt_bytes", 200);
  plan.startSecond = number("start_second", 0);
  plan.stopSecond = number("stop_second", 1e9);
  plan.backlogged = aIni.GetBoolean(aSection, "backlogged", false);
  plan.share = number("share", 1);
  for (const auto& index : SplitList(aIni.Get(aSection, "routers", ""))) {
    plan.routers.push_back(std::stoul(index));
  }
  const bool hasUnknownRouter =
    !plan.routers.empty() && plan.routers.back() >= aRouterCount;
  if (plan.key.empty() || plan.path.empty() || hasUnknownRouter ||
      plan.tokensLow > plan.tokensHigh) {
    throw base::Error(base::ErrorCode::BadValue,
                      "[" + aSection +
                        "]: expected key, path, indexes of existing " +
                        "routers and tokens_low <= tokens_high");
  }
  return plan;
}

}

Plan
ReadPlan(const std::string& aFile)
{
  const INIReader ini(aFile);
  if (ini.ParseError() != 0) {
    throw base::Error(base::ErrorCode::BadSyntax,
                      aFile + ":" + std::to_string(ini.ParseError()) +
                        ": expected a readable INI file");
  }
  Plan plan;
  plan.routers = SplitList(ini.Get("load", "routers", ""));
  plan.operators = SplitList(ini.Get("load", "operators", ""));
  plan.upstreams = SplitList(ini.Get("load", "upstreams", ""));
  plan.seconds = ini.GetReal("load", "seconds", plan.seconds);
  plan.warmupSeconds = ini.GetReal("load", "warmup_seconds", 3);
  plan.drainSeconds = ini.GetReal("load", "drain_seconds", 20);
  plan.slots = static_cast<std::uint32_t>(ini.GetInteger("load", "slots", 0));
  plan.idleConnections =
    static_cast<std::uint32_t>(ini.GetInteger("load", "idle_connections", 0));
  plan.seed = static_cast<std::uint64_t>(ini.GetInteger("load", "seed", 1));
  for (const auto& name : SplitList(ini.Get("load", "workspaces", ""))) {
    plan.workspaces.push_back(
      ReadWorkspace(ini, "workspace:" + name, plan.routers.size()));
  }
  if (plan.routers.empty() || plan.workspaces.empty()) {
    throw base::Error(
      base::ErrorCode::BadValue,
      aFile + ": [load] expected at least one of routers and of workspaces");
  }
  return plan;
}

}
