#include "soak/promises.h"

namespace hemlockgauge::soak {

void
Promises::Check(Promise aPromise, bool aHeld, const std::string& aWhat)
{
  m_checked[static_cast<std::size_t>(aPromise)]++;
  if (!aHeld) {
    m_broken.push_back(std::string(kPromiseNames.NameOf(aPromise)) + ": " +
                       aWhat);
  }
}

void
Promises::Ran(const std::string& aId, bool aMayRunAgain, bool aIsResumption)
{
  const int runs = ++m_runs[aId];
  Check(Promise::AtMostOnce,
        runs == 1 || aMayRunAgain || aIsResumption,
        aId + " ran " + std::to_string(runs) + " times");
}

void
Promises::ToldNotRun(const std::string& aId)
{
  m_toldNotRun.insert(aId);
}

void
Promises::Finish()
{
  for (const auto& id : m_toldNotRun) {
    Check(Promise::NotRunIsTrue,
          !m_runs.contains(id),
          id + " ran though its caller was told that it did not");
  }
}

std::uint64_t
Promises::Checked(Promise aPromise) const
{
  return m_checked[static_cast<std::size_t>(aPromise)];
}

}
