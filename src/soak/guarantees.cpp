#include "soak/guarantees.h"

namespace hemlockgauge::soak {

void
GuaranteeChecker::Check(Guarantee aGuarantee,
                        bool aHolds,
                        const std::string& aViolation)
{
  m_checkCounts[static_cast<std::size_t>(aGuarantee)]++;
  if (!aHolds) {
    m_violations.push_back(std::string(kGuaranteeNames.NameOf(aGuarantee)) +
                           ": " + aViolation);
  }
}

void
GuaranteeChecker::RecordRun(const std::string& aId,
                            bool aMayRunAgain,
                            bool aIsResumption)
{
  const int runs = ++m_runs[aId];
  Check(Guarantee::AtMostOnce,
        runs == 1 || aMayRunAgain || aIsResumption,
        aId + " ran " + std::to_string(runs) + " times");
}

void
GuaranteeChecker::RecordNotRun(const std::string& aId)
{
  m_reportedNotRun.insert(aId);
}

void
GuaranteeChecker::Finish()
{
  for (const auto& id : m_reportedNotRun) {
    Check(Guarantee::NotRunIsAccurate,
          !m_runs.contains(id),
          id + " ran although its caller was told that it did not run");
  }
}

std::uint64_t
GuaranteeChecker::CheckCount(Guarantee aGuarantee) const
{
  return m_checkCounts[static_cast<std::size_t>(aGuarantee)];
}

}
