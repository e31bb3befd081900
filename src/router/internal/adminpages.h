#pragma once

#include "decision/decisiontypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::router {

//! Formats the status page of a router as JSON. aPlatformAge is the time since
//! the last answer of the platform.
std::string
StatusJson(const decision::CoreStatus& aStatus,
           const std::string& aRouter,
           bool aReady,
           base::Duration aPlatformAge);

//! Formats the log lines of the decisions on one request as JSON.
std::string
ExplainJson(const std::string& aRequestId,
            const std::vector<std::string>& aLines);

}
