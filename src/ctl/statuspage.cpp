#include "ctl/statuspage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace hemlockgauge::ctl {

using nlohmann::json;

namespace {

constexpr std::int64_t kLateResponseMs = 30000;
constexpr double kBehindAlarmSeconds = 30;

void
DescribeDocuments(const std::vector<json>& aPages, Handover& aHandover)
{
  std::map<std::string, std::map<std::uint64_t, int>> revisions;
  for (const auto& page : aPages) {
    for (const auto& one : page["documents"]) {
      revisions[one["name"]][one["revision"]]++;
    }
  }
  aHandover.text += "In force:\n";
  for (const auto& [name, counts] : revisions) {
    for (const auto& [revision, routers] : counts) {
      aHandover.text +=
        fmt::format("  {:<24} revision {:<8} on {} of {} routers\n",
                    name,
                    revision,
                    routers,
                    aPages.size());
    }
    const int newest = counts.rbegin()->second;
    if (newest != static_cast<int>(aPages.size())) {
      aHandover.alarms.push_back("service " + name +
                                 ": not all routers use the newest revision");
    }
  }
}

void
DescribeMembers(const std::vector<json>& aPages,
                const std::vector<std::string>& aUnreachable,
                Handover& aHandover)
{
  aHandover.text += "Routers:\n";
  for (const auto& page : aPages) {
    const auto age = page["platform_answer_age_ms"].get<std::int64_t>();
    aHandover.text +=
      fmt::format("  {:<24} {}{} queued {} running {}\n",
                  page["router"].get<std::string>(),
                  page["ready"].get<bool>() ? "ready" : "not ready",
                  page["draining"].get<bool>() ? ", draining" : "",
                  page["queued"].get<int>(),
                  page["running"].get<int>());
    if (page["control"]["invariants_broken"].get<int>() > 0) {
      aHandover.alarms.push_back(
        "router " + page["router"].get<std::string>() +
        ": an invariant was violated, see the router's log");
    }
    if (age > kLateResponseMs * 3) {
      aHandover.alarms.push_back(
        "router " + page["router"].get<std::string>() +
        ": no response from the platform for too long");
    }
  }
  for (const auto& address : aUnreachable) {
    aHandover.alarms.push_back("router at " + address + " does not respond");
  }
}

void
DescribeUpstreams(const std::vector<json>& aPages, Handover& aHandover)
{
  std::map<std::string, std::set<std::string>> reasons;
  for (const auto& page : aPages) {
    for (const auto& one : page["upstreams"]) {
      const auto state = one["state"].get<std::string>();
      const auto name = one["upstream"].get<std::string>();
      if (state != "live") {
        reasons[name].insert(state);
      }
      if (one["ejected"].get<bool>()) {
        reasons[name].insert("ejected at " + page["router"].get<std::string>());
      }
    }
  }
  aHandover.text +=
    "Upstreams that get no new requests from some or all routers:\n";
  for (const auto& [name, texts] : reasons) {
    aHandover.text +=
      fmt::format("  {:<24} {}\n", name, fmt::join(texts, ", "));
  }
}

struct WorkspaceTotals
{
  int queued = 0;
  int running = 0;
  double entitled = 0;
  double behind = 0;
};

void
DescribeWorkspaces(const std::vector<json>& aPages, Handover& aHandover)
{
  std::map<std::string, WorkspaceTotals> totals;
  for (const auto& page : aPages) {
    for (const auto& one : page["workspaces"]) {
      const auto name = one["service"].get<std::string>() + "/" +
                        one["workspace"].get<std::string>();
      auto& sum = totals[name];
      sum.queued += one["queued_here"].get<int>();
      sum.running += one["running_here"].get<int>();
      sum.entitled =
        std::max(sum.entitled, one["entitled_fleet"].get<double>());
      sum.behind = std::max(sum.behind, one["behind_seconds"].get<double>());
    }
  }
  aHandover.text += "Workspaces with queued or running requests:\n";
  for (const auto& [name, sum] : totals) {
    if (sum.queued + sum.running == 0) {
      continue;
    }
    aHandover.text += fmt::format(
      "  {:<32} queued {:<5} running {:<5} entitled {:<7.1f} behind {:.1f} s\n",
      name,
      sum.queued,
      sum.running,
      sum.entitled,
      sum.behind);
    if (sum.behind > kBehindAlarmSeconds) {
      aHandover.alarms.push_back("workspace " + name +
                                 " is far behind its share");
    }
  }
}

}

Handover
DescribeFleet(const std::vector<json>& aPages,
              const std::vector<std::string>& aUnreachable)
{
  Handover out;
  DescribeDocuments(aPages, out);
  DescribeMembers(aPages, aUnreachable, out);
  DescribeUpstreams(aPages, out);
  DescribeWorkspaces(aPages, out);
  out.text += out.alarms.empty() ? "No alarms.\n" : "ALARMS:\n";
  for (const auto& alarm : out.alarms) {
    out.text += "  " + alarm + "\n";
  }
  return out;
}

}
