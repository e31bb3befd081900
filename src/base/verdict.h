#pragma once

#include "base/enumnames.h"

namespace hemlockgauge::base {

//! States whether a request ran at an upstream.
enum class Verdict
{
  Ran,       //!< an upstream runs or ran it; the response is the upstream's
  NotRun,    //!< no upstream has run it or will run it
  MayHaveRun //!< it was sent to an upstream; the outcome is unknown
};

inline constexpr auto kVerdictNames =
  MakeEnumNames<Verdict>("ran", "not-run", "may-have-run");

}
