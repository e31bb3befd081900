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
  void Compare(std::string_view aField, const Value& aOld, const Value& aNew)
  {
    if (aOld != aNew) {
      m_lines.push_back(fmt::format("{}: {} -> {}", aField, aOld, aNew));
    }
  }

  void Add(std::string aLine) { m_lines.push_back(std::move(aLine)); }

  std::vector<std::string> Take() { return std::move(m_lines); }

private:
  std::vector<std::string> m_lines;
};

double
TotalShare(const ServiceDocument& aDocument)
{
  return std::accumulate(aDocument.workspaces.begin(),
                         aDocument.workspaces.end(),
                         0.0,
                         [](double aSum, const Workspace& aWorkspace) {
                           return aSum + aWorkspace.share;
                         });
}

const Workspace*
FindWorkspace(const ServiceDocument& aDocument, const std::string& aName)
{
  for (const auto& workspace : aDocument.workspaces) {
    if (workspace.name == aName) {
      return &workspace;
    }
  }
  return nullptr;
}

std::string
FormatPercent(double aShare, double aTotal)
{
  return fmt::format("{:.1f}%", 100.0 * aShare / aTotal);
}

void
CompareWorkspace(Differences& aOut,
                 const Workspace& aOld,
                 const Workspace& aNew,
                 const std::string& aOldShare,
                 const std::string& aNewShare)
{
  const auto label = "workspace " + aNew.name + " ";
  aOut.Compare(label + "part of the service", aOldShare, aNewShare);
  aOut.Compare(label + "max_requests_per_second",
               aOld.maxRequestsPerSecond,
               aNew.maxRequestsPerSecond);
  aOut.Compare(label + "max_queued", aOld.maxQueued, aNew.maxQueued);
  aOut.Compare(label + "max_in_flight", aOld.maxInFlight, aNew.maxInFlight);
  if (aOld.keySha256 != aNew.keySha256) {
    aOut.Add(fmt::format("{}keys: {} -> {} accepted",
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
    out.Add("repeatable_path: the list of repeatable calls changes");
  }
  const double oldTotal = TotalShare(aOld);
  const double newTotal = TotalShare(aNew);
  for (const auto& workspace : aNew.workspaces) {
    const auto newShare = FormatPercent(workspace.share, newTotal);
    const auto* oldWorkspace = FindWorkspace(aOld, workspace.name);
    if (oldWorkspace == nullptr) {
      out.Add("workspace " + workspace.name + " is new, share of the service " +
              newShare);
      continue;
    }
    CompareWorkspace(out,
                     *oldWorkspace,
                     workspace,
                     FormatPercent(oldWorkspace->share, oldTotal),
                     newShare);
  }
  for (const auto& workspace : aOld.workspaces) {
    if (FindWorkspace(aNew, workspace.name) == nullptr) {
      out.Add("workspace " + workspace.name +
              " is removed: its callers will be refused");
    }
  }
  return out.Take();
}

}
