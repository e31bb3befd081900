#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"
#include "quarantine/requestfingerprint.h"
#include "quarantine/trait.h"

#include <cstddef>
#include <cstdint>
#include <optional>
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

//! States that an upstream crashed while it ran a request with a prompt part.
struct PartCrashReport
{
  PromptPartId part{};
  UpstreamId upstream{};
  Duration age{}; //!< time since the crash
};

//! Tells answers apart that several routers report.
enum class AnswerId : std::uint32_t
{
};

//! States that an upstream answered a request with a prompt part, although
//! others crashed while they ran one.
struct PartAnswerReport
{
  PromptPartId part{};
  AnswerId answer{};
  Duration age{}; //!< time since the answer
};

//! What one router reports to another about crashes. Ages are those at the time
//! of sending.
struct CrashUpdates
{
  std::vector<CrashReport> crashes;
  std::vector<ClearanceReport> clearances;
  std::vector<PartCrashReport> partCrashes;
  std::vector<PartAnswerReport> partAnswers;

  bool IsEmpty() const
  {
    return crashes.empty() && clearances.empty() && partCrashes.empty() &&
           partAnswers.empty();
  }
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

//! Change of the quarantine of one trait.
enum class QuarantineChange : std::uint8_t
{
  Quarantined, //!< is refused from now on
  Cleared,     //!< by an answer, or its crashes are explained by another trait
  Expired      //!< kQuarantineDuration is over; it may be tried again
};
inline constexpr auto kQuarantineChangeNames =
  base::MakeEnumNames<QuarantineChange>("quarantined", "cleared", "expired");

//! Reports one change, with the evidence that there is.
struct QuarantineNotice
{
  Trait trait;
  QuarantineChange change = QuarantineChange::Quarantined;
  std::size_t crashes = 0; //!< upstreams that crashed while they ran it
  std::size_t answers = 0; //!< recent ones; of a prompt part
  Duration lastCrashAge{};
};

//! Result of the decision whether a request may run.
struct QuarantineDecision
{
  std::optional<Duration> refusedFor; //!< empty: it may run
  //! What it is refused for, or what it is to try.
  std::optional<Trait> trait;
  std::size_t crashes = 0; //!< under the trait
  std::size_t answers = 0; //!< to requests with the trait
  bool isTrial = false;    //!< it may run to find out about the trait
};

}
