#include "document/documentdiff.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace hemlockgauge::document {

namespace {

class Differences
{
public:
  template<typename Value>
  void Compare(std::string_view aWhat, const Value& aOld, const Value& aNew)
  {
    if (aOld != aNew) {
      m_lines.push_back(fmt::format("{}: {} -> {}", aWhat, aOld, aNew));
    }
  }

  void Say(std::string aLine) { m_lines.push_back(std::move(aLine)); }

  std::vector<std::string> Take() { return std::move(m_lines); }

private:
  std::vector<std::string> m_lines;
};

double
TotalShare(const ServiceDocument& aDocument)
{
  return std::accumulate(
    aDocument.workspaces.begin(),
    aDocument.workspaces.end(),
    0.0,
    [](double aSum, const Workspace& aOne) { return aSum + aOne.share; });
}

const Workspace*
Find(const ServiceDocument& aDocument, const std::string& aName)
{
  for (const auto& workspace : aDocument.workspaces) {
    if (workspace.name == aName) {
      return &workspace;
    }
  }
  return nullptr;
}

std::string
Percent(double aShare, double aTotal)
{
  return fmt::format("{:.1f}%", 100.0 * aShare / aTotal);
}

void
CompareWorkspace(Differences& aOut,
                 const Workspace& aOld,
                 const Workspace& aNew,
                 const std::string& aOldPart,
                 const std::string& aNewPart)
{
  const auto label = "workspace " + aNew.name + " ";
  aOut.Compare(label + "part of the service", aOldPart, aNewPart);
  aOut.Compare(label + "max_requests_per_second",
               aOld.maxRequestsPerSecond,
               aNew.maxRequestsPerSecond);
  aOut.Compare(label + "max_queued", aOld.maxQueued, aNew.maxQueued);
  aOut.Compare(label + "max_in_flight", aOld.maxInFlight, aNew.maxInFlight);
  if (aOld.keySha256 != aNew.keySha256) {
    aOut.Say(fmt::format("{}keys: {} -> {} accepted",
                         label,
                         aOld.keySha256.size(),
                         aNew.keySha256.size()));
  }
}

}

std::vector<std::string>
DescribeDifference(const ServiceDocument& aOld, const ServiceDocument& aNew)
{
  Differences out;
  out.Compare("name", aOld.name, aNew.name);
  out.Compare("path_prefix", aOld.pathPrefix, aNew.pathPrefix);
  out.Compare("pool", aOld.poolName, aNew.poolName);
  out.Compare("kind",
              kUpstreamKindNames.NameOf(aOld.kind),
              kUpstreamKindNames.NameOf(aNew.kind));
  out.Compare("concurrency", aOld.concurrency, aNew.concurrency);
  out.Compare("deadline_ms", aOld.deadline.count(), aNew.deadline.count());
  out.Compare(
    "stall_limit_ms", aOld.stallLimit.count(), aNew.stallLimit.count());
  out.Compare("fairness_weight", aOld.fairnessWeight, aNew.fairnessWeight);
  if (aOld.repeatablePaths != aNew.repeatablePaths) {
    out.Say("the calls that may be repeated change");
  }
  const double oldTotal = TotalShare(aOld);
  const double newTotal = TotalShare(aNew);
  for (const auto& workspace : aNew.workspaces) {
    const auto newPart = Percent(workspace.share, newTotal);
    const auto* before = Find(aOld, workspace.name);
    if (before == nullptr) {
      out.Say("workspace " + workspace.name + " is new, part " + newPart);
      continue;
    }
    CompareWorkspace(
      out, *before, workspace, Percent(before->share, oldTotal), newPart);
  }
  for (const auto& workspace : aOld.workspaces) {
    if (Find(aNew, workspace.name) == nullptr) {
      out.Say("workspace " + workspace.name +
              " goes: its callers will be refused");
    }
  }
  return out.Take();
}

}
