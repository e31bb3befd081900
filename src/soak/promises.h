#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlockgauge::soak {

enum class Promise : std::uint8_t
{
  OwnWholeAnswer,     //!< a success is the whole answer to the own request
  StreamInOrder,      //!< parts come once and in order, also of what is cut
  NotRunIsTrue,       //!< told "not run", it never ran
  AtMostOnce,         //!< what may run once ran at most once
  OwnWorkspace,       //!< the upstream got the workspace and not the key
  NothingToLeaving,   //!< after the bound a leaving upstream got no work
  WithdrawnKeyStops,  //!< after the bound a withdrawn key runs nothing
  GracefulStopCuts,   //!< a planned stop on a calm fleet cut nothing
  NothingToEvacuated, //!< after the bound an evacuated zone got no work
  ColdIsSpared,       //!< a cold upstream got no more than it bears
  CrashingStops,      //!< a request that crashes upstreams is kept from others
  Recovery            //!< when the faults are over, requests are served
};
inline constexpr auto kPromiseNames =
  base::MakeEnumNames<Promise>("own-whole-answer",
                               "stream-in-order",
                               "not-run-is-true",
                               "at-most-once",
                               "own-workspace",
                               "nothing-to-leaving",
                               "withdrawn-key-stops",
                               "graceful-stop-cuts-nothing",
                               "nothing-to-evacuated",
                               "cold-is-spared",
                               "crashing-request-stops",
                               "recovery");
inline constexpr std::size_t kPromises =
  static_cast<std::size_t>(Promise::Recovery) + 1;

//! Keeps count of how often each promise was looked at and what broke it.
class Promises
{
public:
  void Check(Promise aPromise, bool aHeld, const std::string& aWhat);
  //! A request ran at an upstream.
  void Ran(const std::string& aId, bool aMayRunAgain, bool aIsResumption);
  //! A caller was told that a request did not run and never will.
  void ToldNotRun(const std::string& aId);
  //! To be called once all is over.
  void Finish();

  std::uint64_t Checked(Promise aPromise) const;
  const std::vector<std::string>& Broken() const { return m_broken; }

private:
  std::array<std::uint64_t, kPromises> m_checked{};
  std::vector<std::string> m_broken;
  std::map<std::string, int> m_runs;
  std::set<std::string> m_toldNotRun;
};

}
