#pragma once

#include "document/documenttypes.h"

#include <memory>

namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::traffic {

class ITraffic;

//! aIncarnation makes request ids of different runs differ.
std::unique_ptr<ITraffic>
MakeTraffic(const document::RouterSettings& aSettings,
            std::uint32_t aIncarnation,
            metrics::Metrics& aMetrics);

}
