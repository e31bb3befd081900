#include "ctl/statuspage.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace hemlockgauge::ctl {

using nlohmann::json;

namespace {

constexpr std::int64_t kOldAnswerMs = 30000;
constexpr double kBehindAlarmSeconds = 30;

void
DescribeDocuments(const std::vector<json>& aPages, Handover& aOut)
{
  std::map<std::string, std::map<std::uint64_t, int>> revisions;
  for (const auto& page : aPages) {
    for (const auto& one : page["documents"]) {
      revisions[one["name"]][one["revision"]]++;
    }
  }
  aOut.text += "In force:\n";
  for (const auto& [name, counts] : revisions) {
    for (const auto& [revision, routers] : counts) {
      aOut.text += fmt::format("  {:<24} revision {:<8} on {} of {} routers\n",
                               name,
                               revision,
                               routers,
                               aPages.size());
    }
    const int newest = counts.rbegin()->second;
    if (newest != static_cast<int>(aPages.size())) {
      aOut.alarms.push_back("service " + name +
                            ": the newest revision is not on every router");
    }
  }
}

void
DescribeMembers(const std::vector<json>& aPages,
                const std::vector<std::string>& aUnreachable,
                Handover& aOut)
{
  aOut.text += "Routers:\n";
  for (const auto& page : aPages) {
    const auto age = page["platform_answer_age_ms"].get<std::int64_t>();
    aOut.text += fmt::format("  {:<24} {}{} queued {} running {}\n",
                             page["router"].get<std::string>(),
                             page["ready"].get<bool>() ? "ready" : "not ready",
                             page["draining"].get<bool>() ? ", draining" : "",
                             page["queued"].get<int>(),
                             page["running"].get<int>());
    if (page["control"]["invariants_broken"].get<int>() > 0) {
      aOut.alarms.push_back("router " + page["router"].get<std::string>() +
                            ": an invariant broke, see its log");
    }
    if (age > kOldAnswerMs * 3) {
      aOut.alarms.push_back("router " + page["router"].get<std::string>() +
                            ": no answer of the platform for long");
    }
  }
  for (const auto& address : aUnreachable) {
    aOut.alarms.push_back("router at " + address + " does not answer");
  }
}

void
DescribeUpstreams(const std::vector<json>& aPages, Handover& aOut)
{
  std::map<std::string, std::set<std::string>> marks;
  for (const auto& page : aPages) {
    for (const auto& one : page["upstreams"]) {
      const auto state = one["state"].get<std::string>();
      const auto name = one["upstream"].get<std::string>();
      if (state != "live") {
        marks[name].insert(state);
      }
      if (one["ejected"].get<bool>()) {
        marks[name].insert("ejected at " + page["router"].get<std::string>());
      }
    }
  }
  aOut.text += "Upstreams that get no new work, or not from all:\n";
  for (const auto& [name, why] : marks) {
    aOut.text += fmt::format("  {:<24} {}\n", name, fmt::join(why, ", "));
  }
}

struct WorkspaceSum
{
  int queued = 0;
  int running = 0;
  double entitled = 0;
  double behind = 0;
};

void
DescribeWorkspaces(const std::vector<json>& aPages, Handover& aOut)
{
  std::map<std::string, WorkspaceSum> sums;
  for (const auto& page : aPages) {
    for (const auto& one : page["workspaces"]) {
      const auto name = one["service"].get<std::string>() + "/" +
                        one["workspace"].get<std::string>();
      auto& sum = sums[name];
      sum.queued += one["queued_here"].get<int>();
      sum.running += one["running_here"].get<int>();
      sum.entitled =
        std::max(sum.entitled, one["entitled_fleet"].get<double>());
      sum.behind = std::max(sum.behind, one["behind_seconds"].get<double>());
    }
  }
  aOut.text += "Workspaces with work:\n";
  for (const auto& [name, sum] : sums) {
    if (sum.queued + sum.running == 0) {
      continue;
    }
    aOut.text += fmt::format(
      "  {:<32} queued {:<5} running {:<5} entitled {:<7.1f} behind {:.1f} s\n",
      name,
      sum.queued,
      sum.running,
      sum.entitled,
      sum.behind);
    if (sum.behind > kBehindAlarmSeconds) {
      aOut.alarms.push_back("workspace " + name + " is far behind its share");
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
