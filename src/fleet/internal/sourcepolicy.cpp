#include "fleet/sourcepolicy.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

void
SourcePolicy::SetOptions(const std::vector<NewsSource>& aOptions,
                         TimePoint aNow)
{
  if (aOptions == m_options) {
    return;
  }
  const bool wasPreferred = IsPreferred();
  m_options = aOptions;
  if (wasPreferred) {
    if (!(m_options[0] == m_current)) {
      Use(0, aNow);
    }
    return;
  }
  const auto found = std::find(m_options.begin(), m_options.end(), m_current);
  if (found == m_options.end()) {
    Use(0, aNow);
  } else {
    m_index = static_cast<std::size_t>(found - m_options.begin());
  }
}

void
SourcePolicy::Use(std::size_t aIndex, TimePoint aNow)
{
  m_index = aIndex;
  m_current = m_options[aIndex];
  m_usedSince = aNow;
  m_answeredAt = aNow;
  m_proofAge.reset();
}

void
SourcePolicy::Answered(Duration aProofAge, TimePoint aNow)
{
  m_answeredAt = aNow;
  m_proofAge = aProofAge;
}

bool
SourcePolicy::Tick(TimePoint aNow)
{
  const auto before = m_current;
  const bool alone = m_options.size() == 1;
  const auto limit =
    m_current.kind == SourceKind::Store ? kStoreSilent : kRouterSilent;
  const bool silent = aNow - m_answeredAt > limit;
  const bool cutOff = m_proofAge && *m_proofAge > kSourceStale;
  const bool settled = aNow - m_usedSince > kSourceDwell;
  if (!alone && (silent || (cutOff && settled))) {
    Use((m_index + 1) % m_options.size(), aNow);
  } else if (m_index > 0 && aNow - m_usedSince > kSourceRetry) {
    Use(0, aNow);
  }
  return !(before == m_current);
}

}
