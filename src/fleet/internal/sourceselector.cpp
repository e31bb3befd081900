#include "fleet/sourceselector.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

SourceSelector::SourceSelector()
  : m_minDwell(kMinSourceDwell)
{
}

void
SourceSelector::SetOptions(const SourceOptions& aOptions, TimePoint aNow)
{
  const bool sameOrder = aOptions.order == m_options.order;
  m_options = aOptions;
  if (!m_hasStarted) {
    SelectSource(0, aNow);
    return;
  }
  if (sameOrder || m_hasTakenOver) {
    m_index = std::min(m_index, m_options.order.size() - 1);
    return;
  }
  const auto& order = m_options.order;
  const auto found = std::find(order.begin(), order.end(), m_current);
  const bool waitsAtStart = m_options.firstAnswerTimeout && !m_proofAge;
  if (IsPreferred() || found == order.end() || waitsAtStart) {
    if (!(order[0] == m_current)) {
      SelectSource(0, aNow);
    }
    return;
  }
  m_index = static_cast<std::size_t>(found - order.begin());
}

void
SourceSelector::StartUsing(const StoreSource& aSource, TimePoint aNow)
{
  m_hasStarted = true;
  m_current = aSource;
  m_selectedAt = aNow;
  m_answeredAt = aNow;
  m_isPending = false;
  m_proofAge.reset();
}

void
SourceSelector::Pending(TimePoint aNow)
{
  m_answeredAt = aNow;
  m_isPending = true;
}

bool
SourceSelector::IsPending(TimePoint aNow) const
{
  return m_isPending && !m_proofAge && aNow - m_answeredAt < kPendingTimeout;
}

void
SourceSelector::SelectSource(std::size_t aIndex, TimePoint aNow)
{
  m_hasTakenOver = false;
  m_index = aIndex;
  StartUsing(m_options.order[aIndex], aNow);
}

void
SourceSelector::TakeOver(TimePoint aNow)
{
  m_hasTakenOver = true;
  m_takeoverSucceeded = false;
  StartUsing(StoreSource{}, aNow);
}

void
SourceSelector::Answered(Duration aProofAge, TimePoint aNow)
{
  m_answeredAt = aNow;
  m_proofAge = aProofAge;
  if (!IsStale(aNow)) {
    m_minDwell = kMinSourceDwell;
    m_takeoverSucceeded = m_takeoverSucceeded || m_hasTakenOver;
  }
}

bool
SourceSelector::IsSilent(TimePoint aNow) const
{
  auto timeout =
    m_current.kind == SourceKind::Store ? kStoreTimeout : kRouterTimeout;
  if (m_current.kind == SourceKind::Store && IsPreferred()) {
    timeout = kStoreReaderTimeout;
  }
  if (!m_proofAge && !m_isPending && m_options.firstAnswerTimeout &&
      m_current.kind == SourceKind::Router) {
    timeout = *m_options.firstAnswerTimeout;
  }
  return aNow - m_answeredAt > timeout;
}

bool
SourceSelector::IsStale(TimePoint aNow) const
{
  return m_proofAge && *m_proofAge + (aNow - m_answeredAt) > kMaxSourceProofAge;
}

//! If the store stopped answering this router but another router still reads
//! it, this router changes to that one.
bool
SourceSelector::ShouldUseFresherSource(TimePoint aNow) const
{
  if (!m_options.fresherIndex) {
    return false;
  }
  if (m_current.kind == SourceKind::Store) {
    return aNow - m_answeredAt > kStoreFailoverTimeout;
  }
  return m_index != *m_options.fresherIndex && IsStale(aNow);
}

//! Moves on to the next source. A router that prefers the store returns to it
//! right after any other source, or no router would notice when the store is
//! reachable again. While all sources fail, each is kept longer than the one
//! before, since each change of source may transfer the whole upstream list.
void
SourceSelector::MoveOn(TimePoint aNow)
{
  m_minDwell = std::min(m_minDwell * 2, kMaxSourceDwell);
  if (m_hasTakenOver) {
    m_mayTakeOverAt = aNow + kTakeoverBackoff;
  }
  const bool backToStore =
    !IsPreferred() && m_options.order[0].kind == SourceKind::Store;
  const bool useFirst = m_hasTakenOver || backToStore;
  SelectSource(useFirst ? 0 : (m_index + 1) % m_options.order.size(), aNow);
}

bool
SourceSelector::Tick(TimePoint aNow)
{
  const auto before = m_current;
  const auto usedFor = aNow - m_selectedAt;
  const bool prefersStore = m_options.order[0].kind == SourceKind::Store;
  const bool dwellIsOver =
    usedFor > (prefersStore ? kMinSourceDwell : m_minDwell);
  const bool isDue = m_options.shouldTakeOver && aNow >= m_mayTakeOverAt;
  const bool mayTakeOverAgain = m_takeoverSucceeded && IsStale(aNow);
  const bool canMove = m_hasTakenOver || m_options.order.size() > 1;
  if (ShouldUseFresherSource(aNow)) {
    SelectSource(*m_options.fresherIndex, aNow);
  } else if (!m_hasTakenOver && (isDue || mayTakeOverAgain)) {
    TakeOver(aNow);
  } else if (canMove && (IsSilent(aNow) || (IsStale(aNow) && dwellIsOver))) {
    MoveOn(aNow);
  } else if (!IsPreferred() && usedFor > kSourceRetryInterval) {
    SelectSource(0, aNow);
  }
  return !(before == m_current);
}

}
