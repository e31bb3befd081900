#include "fleet/sourcepolicy.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

SourcePolicy::SourcePolicy()
  : m_dwell(kSourceDwell)
{
}

void
SourcePolicy::SetOptions(const SourceOptions& aOptions, TimePoint aNow)
{
  const bool sameOrder = aOptions.order == m_options.order;
  m_options = aOptions;
  if (!m_hasBegun) {
    Use(0, aNow);
    return;
  }
  if (sameOrder || m_hasTakenOver) {
    m_index = std::min(m_index, m_options.order.size() - 1);
    return;
  }
  const auto& order = m_options.order;
  const auto found = std::find(order.begin(), order.end(), m_current);
  if (IsPreferred() || found == order.end()) {
    if (!(order[0] == m_current)) {
      Use(0, aNow);
    }
    return;
  }
  m_index = static_cast<std::size_t>(found - order.begin());
}

void
SourcePolicy::Begin(const NewsSource& aSource, TimePoint aNow)
{
  m_hasBegun = true;
  m_current = aSource;
  m_usedSince = aNow;
  m_answeredAt = aNow;
  m_isPending = false;
  m_proofAge.reset();
}

void
SourcePolicy::Pending(TimePoint aNow)
{
  m_answeredAt = aNow;
  m_isPending = true;
}

void
SourcePolicy::Use(std::size_t aIndex, TimePoint aNow)
{
  m_hasTakenOver = false;
  m_index = aIndex;
  Begin(m_options.order[aIndex], aNow);
}

void
SourcePolicy::TakeOver(TimePoint aNow)
{
  m_hasTakenOver = true;
  m_readWell = false;
  Begin(NewsSource{}, aNow);
}

void
SourcePolicy::Answered(Duration aProofAge, TimePoint aNow)
{
  m_answeredAt = aNow;
  m_proofAge = aProofAge;
  if (!IsStale(aNow)) {
    m_dwell = kSourceDwell;
    m_readWell = m_readWell || m_hasTakenOver;
  }
}

bool
SourcePolicy::IsSilent(TimePoint aNow) const
{
  auto limit =
    m_current.kind == SourceKind::Store ? kStoreSilent : kRouterSilent;
  if (m_current.kind == SourceKind::Store && IsPreferred()) {
    limit = kStoreSilentForAll;
  }
  if (!m_proofAge && !m_isPending && m_options.patience &&
      m_current.kind == SourceKind::Router) {
    limit = *m_options.patience;
  }
  return aNow - m_answeredAt > limit;
}

bool
SourcePolicy::IsStale(TimePoint aNow) const
{
  return m_proofAge && *m_proofAge + (aNow - m_answeredAt) > kSourceStale;
}

//! A store that answers no more, while another router reads it, turns this
//! one away.
bool
SourcePolicy::IsBehindKnown(TimePoint aNow) const
{
  if (!m_options.known) {
    return false;
  }
  if (m_current.kind == SourceKind::Store) {
    return aNow - m_answeredAt > kStoreLate;
  }
  return m_index != *m_options.known && IsStale(aNow);
}

//! On to the next one; back to the store at once for whom that is the first, or
//! nobody sees it return. If all are cut off, each is kept longer than the one
//! before: going round brings nothing, and each change costs a whole list.
void
SourcePolicy::Move(TimePoint aNow)
{
  m_dwell = std::min(m_dwell * 2, kSourceDwellMost);
  if (m_hasTakenOver) {
    m_mayTakeOverAt = aNow + kTakeoverPause;
  }
  const bool backToStore =
    !IsPreferred() && m_options.order[0].kind == SourceKind::Store;
  const bool first = m_hasTakenOver || backToStore;
  Use(first ? 0 : (m_index + 1) % m_options.order.size(), aNow);
}

bool
SourcePolicy::Tick(TimePoint aNow)
{
  const auto before = m_current;
  const auto used = aNow - m_usedSince;
  const bool readsStore = m_options.order[0].kind == SourceKind::Store;
  const bool settled = used > (readsStore ? kSourceDwell : m_dwell);
  const bool isDue = m_options.takesOver && aNow >= m_mayTakeOverAt;
  const bool wasRight = m_readWell && IsStale(aNow);
  const bool canMove = m_hasTakenOver || m_options.order.size() > 1;
  if (IsBehindKnown(aNow)) {
    Use(*m_options.known, aNow);
  } else if (!m_hasTakenOver && (isDue || wasRight)) {
    TakeOver(aNow);
  } else if (canMove && (IsSilent(aNow) || (IsStale(aNow) && settled))) {
    Move(aNow);
  } else if (!IsPreferred() && used > kSourceRetry) {
    Use(0, aNow);
  }
  return !(before == m_current);
}

}
