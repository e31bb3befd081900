#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"
#include "quarantine/requestfingerprint.h"

#include <cstddef>
#include <cstdint>
#include <vector>

//! Crash reports that routers exchange, and the results that they derive from
//! them.
namespace hemlockgauge::quarantine {

using base::Duration;
using base::TimePoint;
using base::UpstreamId;

//! States that an upstream crashed while it ran a request.
struct CrashReport
{
  RequestFingerprint request{};
  UpstreamId upstream{};
  Duration age{}; //!< time since the crash
};

//! States that an upstream answered a request completely, although others
//! crashed while they ran it.
struct ClearanceReport
{
  RequestFingerprint request{};
  Duration age{}; //!< time since the answer
};

//! What one router reports to another about crashes. Ages are those at the time
//! of sending.
struct CrashUpdates
{
  std::vector<CrashReport> crashes;
  std::vector<ClearanceReport> clearances;

  bool IsEmpty() const { return crashes.empty() && clearances.empty(); }
};

//! Result of the check of an upstream whose connections broke while it ran
//! requests.
enum class CheckResult : std::uint8_t
{
  Crashed, //!< connections are refused: nothing listens any more
  Alive,   //!< it accepts connections
  Unknown  //!< no result within the timeout
};
inline constexpr auto kCheckResultNames =
  base::MakeEnumNames<CheckResult>("crashed", "lives", "unknown");

//! Change of the quarantine of one request.
enum class QuarantineChange : std::uint8_t
{
  Quarantined, //!< is refused from now on
  Cleared,     //!< by a complete answer, or explained by another request
  Expired      //!< kQuarantineDuration is over; it may be tried again
};
inline constexpr auto kQuarantineChangeNames =
  base::MakeEnumNames<QuarantineChange>("quarantined", "cleared", "expired");

//! Reports one change, with the crash count of the request.
struct QuarantineNotice
{
  RequestFingerprint request{};
  QuarantineChange change = QuarantineChange::Quarantined;
  std::size_t crashes = 0; //!< upstreams that crashed while they ran it
};

}
