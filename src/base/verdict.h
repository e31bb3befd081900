#pragma once

#include "base/enumnames.h"

namespace hemlockgauge::base {

//! Says whether a request may have run at an upstream.
enum class Verdict
{
  Ran,       //!< an upstream runs or ran it and this is its answer
  NotRun,    //!< no upstream has run it, nor will
  MayHaveRun //!< it was handed to an upstream and the end is unknown
};

inline constexpr auto kVerdictNames =
  MakeEnumNames<Verdict>("ran", "not-run", "may-have-run");

}
