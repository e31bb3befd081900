#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"
#include "quarantine/requestfingerprint.h"

#include <cstddef>
#include <cstdint>
#include <vector>

//! What routers believe of requests under which upstreams crash, and tell each
//! other of them.
namespace hemlockgauge::quarantine {

using base::Duration;
using base::TimePoint;
using base::UpstreamId;

//! An upstream that crashed while it ran a request.
struct CrashReport
{
  RequestFingerprint request{};
  UpstreamId upstream{};
  Duration age{}; //!< since the crash
};

//! A request that an upstream ended well, although others crashed under it.
struct ClearanceReport
{
  RequestFingerprint request{};
  Duration age{};
};

//! What one router tells another; the age of each is as of its sending.
struct CrashNews
{
  std::vector<CrashReport> crashes;
  std::vector<ClearanceReport> clearances;

  bool IsEmpty() const { return crashes.empty() && clearances.empty(); }
};

//! What a look at an upstream told whose connections broke under requests.
enum class CheckResult : std::uint8_t
{
  Crashed, //!< nothing listens there any more
  Lives,   //!< it takes connections
  Unknown  //!< neither came in time
};
inline constexpr auto kCheckResultNames =
  base::MakeEnumNames<CheckResult>("crashed", "lives", "unknown");

enum class QuarantineChange : std::uint8_t
{
  Quarantined, //!< goes to no upstream for a while
  Cleared,     //!< an upstream ended it well
  Expired      //!< may be tried once more
};
inline constexpr auto kQuarantineChangeNames =
  base::MakeEnumNames<QuarantineChange>("quarantined", "cleared", "expired");

struct QuarantineNotice
{
  RequestFingerprint request{};
  QuarantineChange change = QuarantineChange::Quarantined;
  std::size_t crashes = 0; //!< upstreams that crashed under it
};

}
