#include "platform/internal/rejectedentrylog.h"

#include "base/logline.h"

namespace hemlockgauge::platform {

namespace {

constexpr std::size_t kMaxLinesPerList = 16;

}

RejectedEntryLog::RejectedEntryLog(std::string aListName)
  : m_listName(std::move(aListName))
{
}

std::size_t
RejectedEntryLog::Update(const std::vector<RejectedEntry>& aRejected)
{
  std::set<RejectedEntry> current(aRejected.begin(), aRejected.end());
  std::size_t added = 0;
  for (const auto& entry : current) {
    if (m_known.contains(entry) || ++added > kMaxLinesPerList) {
      continue;
    }
    base::LogLine("platform-entry-rejected")
      .Add("list", m_listName)
      .Add("name", entry.name)
      .Add("why", entry.reason)
      .Warn();
  }
  if (added > kMaxLinesPerList) {
    base::LogLine("platform-entries-rejected")
      .Add("list", m_listName)
      .Add("count", static_cast<std::uint64_t>(added))
      .Warn();
  }
  m_known = std::move(current);
  return added;
}

}
