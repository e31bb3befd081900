#include "modelfleet.h"

#include "fleet/fleetconstants.h"

namespace hemlockgauge::fleet {

Fleet&
ModelFleet::Add(const FleetSettings& aSettings)
{
  m_fleets.push_back(std::make_unique<Fleet>(aSettings));
  return *m_fleets.back();
}

void
ModelFleet::Later(TimePoint aAt, std::function<void()> aWhat)
{
  m_events.push({ aAt, m_order++, std::move(aWhat) });
}

void
ModelFleet::StartReports(std::size_t aRouter, Duration aOffset)
{
  Later(m_now + aOffset, [this, aRouter] { Report(aRouter); });
}

void
ModelFleet::CutOff(std::size_t aRouter, bool aIsCut)
{
  if (aIsCut) {
    m_cutOff.insert(aRouter);
  } else {
    m_cutOff.erase(aRouter);
  }
}

void
ModelFleet::Report(std::size_t aRouter)
{
  m_fleets[aRouter]->Tick(m_now);
  const auto report =
    std::make_shared<PeerReport>(m_fleets[aRouter]->Tell(Duration{}, m_now));
  report->loadAge = m_newsDelay;
  Later(m_now + m_newsDelay, [this, aRouter, report] {
    for (std::size_t i = 0; i < m_fleets.size(); ++i) {
      const bool cut = m_cutOff.contains(i) || m_cutOff.contains(aRouter);
      if (i != aRouter && !cut) {
        m_fleets[i]->Take(*report, m_now);
      }
    }
  });
  Later(m_now + kReportPeriod, [this, aRouter] { Report(aRouter); });
}

void
ModelFleet::Run(Duration aLength)
{
  while (SinceStart() < aLength) {
    auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.what();
  }
}

}
