#pragma once

#include "document/documenttypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::document {

//! The effect of going from aOld to aNew, one sentence an entry; empty when
//! nothing changes.
std::vector<std::string>
DescribeDifference(const ServiceDocument& aOld, const ServiceDocument& aNew);

}
