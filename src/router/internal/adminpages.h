#pragma once

#include "decision/decisiontypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::router {

//! A router's status as JSON for operators and their command line.
std::string
StatusJson(const decision::CoreStatus& aStatus,
           const std::string& aRouter,
           bool aReady,
           base::Duration aPlatformAge);

std::string
ExplainJson(const std::string& aRequestId,
            const std::vector<std::string>& aLines);

}
