#include "router/internal/adminpages.h"

#include <nlohmann/json.hpp>

namespace hemlockgauge::router {

using nlohmann::json;

namespace {

json
CountersJson(const decision::ControlCounters& aCounters)
{
  return { { "frames_sent", aCounters.framesSent },
           { "bytes_sent", aCounters.bytesSent },
           { "bytes_received", aCounters.bytesReceived },
           { "frames_deferred", aCounters.framesDeferred },
           { "invariants_broken", aCounters.invariantsBroken },
           { "overdrafts", aCounters.overdrafts },
           { "retries", aCounters.retries } };
}

json
WorkspaceJson(const decision::WorkspaceStatus& aOne)
{
  return { { "service", aOne.service },
           { "workspace", aOne.name },
           { "queued_here", aOne.queuedHere },
           { "running_here", aOne.runningHere },
           { "demand_fleet", aOne.demandFleet },
           { "entitled_fleet", aOne.entitledFleet },
           { "entitled_here", aOne.entitledHere },
           { "served_here", aOne.servedHere },
           { "behind_seconds", aOne.lagSeconds } };
}

}

std::string
StatusJson(const decision::CoreStatus& aStatus,
           const std::string& aRouter,
           bool aReady,
           base::Duration aPlatformAge)
{
  json page{ { "router", aRouter },
             { "ready", aReady },
             { "draining", aStatus.draining },
             { "queued", aStatus.queued },
             { "running", aStatus.running },
             { "free_slots_owned", aStatus.freeSlotsOwned },
             { "platform_answer_age_ms", aPlatformAge.count() },
             { "control", CountersJson(aStatus.counters) },
             { "documents", json::array() },
             { "workspaces", json::array() },
             { "members", json::array() },
             { "upstreams", json::array() } };
  for (const auto& one : aStatus.documents) {
    page["documents"].push_back(
      { { "name", one.name }, { "revision", one.revision } });
  }
  for (const auto& one : aStatus.workspaces) {
    page["workspaces"].push_back(WorkspaceJson(one));
  }
  for (const auto& one : aStatus.members) {
    page["members"].push_back(
      { { "router", one.name },
        { "availability_zone", one.zone },
        { "state", decision::kMemberStateNames.NameOf(one.state) },
        { "operators_address", one.address.Text() } });
  }
  for (const auto& one : aStatus.upstreams) {
    page["upstreams"].push_back(
      { { "upstream", one.name },
        { "pool", one.pool },
        { "state", decision::kHostStateNames.NameOf(one.state) },
        { "ejected", one.ejected },
        { "held", one.held },
        { "in_use", one.inUse } });
  }
  return page.dump(2) + "\n";
}

std::string
ExplainJson(const std::string& aRequestId,
            const std::vector<std::string>& aLines)
{
  return json{ { "request", aRequestId }, { "decisions", aLines } }.dump(2) +
         "\n";
}

}
