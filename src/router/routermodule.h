#pragma once

#include "document/documenttypes.h"

namespace hemlockgauge::router {

//! Runs a router until it is told to stop; returns the exit code: 0 when
//! nothing in progress was cut, 2 when something was.
int
RunRouter(const document::RouterSettings& aSettings);

}
