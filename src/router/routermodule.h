#pragma once

#include "document/documenttypes.h"

namespace hemlockgauge::router {

//! Runs a router until SIGTERM or SIGINT. Returns the exit code: 0 if no
//! request in progress was aborted, 2 otherwise. Throws Error if it cannot
//! listen.
int
RunRouter(const document::RouterSettings& aSettings);

}
