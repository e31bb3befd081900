#pragma once

#include "document/documenttypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::document {

//! Describes the effect of replacing aOld by aNew, one change per entry; empty
//! if they are equivalent.
std::vector<std::string>
DescribeDifference(const ServiceDocument& aOld, const ServiceDocument& aNew);

}
