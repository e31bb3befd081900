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
ModelFleet::Schedule(TimePoint aAt, std::function<void()> aAction)
{
  m_events.push({ aAt, m_nextOrder++, std::move(aAction) });
}

void
ModelFleet::StartReports(std::size_t aRouter, Duration aOffset)
{
  Schedule(m_now + aOffset, [this, aRouter] { Report(aRouter); });
}

void
ModelFleet::SetCutOff(std::size_t aRouter, bool aIsCut)
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
  const auto report = std::make_shared<PeerReport>(
    m_fleets[aRouter]->MakeReport(Duration{}, m_now));
  report->loadAge = m_reportDelay;
  Schedule(m_now + m_reportDelay, [this, aRouter, report] {
    for (std::size_t i = 0; i < m_fleets.size(); ++i) {
      const bool cut = m_cutOff.contains(i) || m_cutOff.contains(aRouter);
      if (i != aRouter && !cut) {
        m_fleets[i]->ApplyReport(*report, m_now);
      }
    }
  });
  Schedule(m_now + kReportInterval, [this, aRouter] { Report(aRouter); });
}

void
ModelFleet::Run(Duration aLength)
{
  while (SinceStart() < aLength) {
    auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
}

}
