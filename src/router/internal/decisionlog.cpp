#include "router/internal/decisionlog.h"

#include "base/logline.h"

#include <chrono>

namespace hemlockgauge::router {

using decision::DecisionKind;

namespace {

bool
IsWarning(DecisionKind aKind)
{
  return aKind == DecisionKind::InvariantBroken ||
         aKind == DecisionKind::Ejected ||
         aKind == DecisionKind::ResumedAfterPause ||
         aKind == DecisionKind::SlotsExpired;
}

std::string
WallClock()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return std::to_string(millis);
}

}

DecisionLog::DecisionLog(std::string aRequestPrefix)
  : m_prefix(std::move(aRequestPrefix))
{
}

void
DecisionLog::Record(const decision::DecisionRecord& aRecord)
{
  base::LogLine line(decision::kDecisionKindNames.NameOf(aRecord.kind));
  std::string id;
  if (base::Raw(aRecord.request) != 0) {
    id = m_prefix + std::to_string(base::Raw(aRecord.request));
    line.Add("request", id);
  }
  if (!aRecord.workspace.empty()) {
    line.Add("workspace", aRecord.workspace);
  }
  if (!aRecord.upstream.empty()) {
    line.Add("upstream", aRecord.upstream);
  }
  line.Add("why", aRecord.why);
  if (IsWarning(aRecord.kind)) {
    line.Warn();
  } else {
    line.Info();
  }
  if (id.empty()) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  auto& lines = m_lines[id];
  if (lines.empty()) {
    m_requestOrder.push_back(id);
  }
  lines.push_back("time_ms=" + WallClock() + " " + line.Text());
  if (m_requestOrder.size() > kMaxRequests) {
    m_lines.erase(m_requestOrder.front());
    m_requestOrder.pop_front();
  }
}

std::vector<std::string>
DecisionLog::Explain(const std::string& aRequestId) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_lines.find(aRequestId);
  return found == m_lines.end() ? std::vector<std::string>() : found->second;
}

}
