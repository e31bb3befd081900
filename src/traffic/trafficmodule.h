#pragma once

#include "document/documenttypes.h"

#include <memory>

namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::traffic {

class ITraffic;

//! aIncarnation is part of each request id, so that ids stay unique across
//! restarts of the router.
std::unique_ptr<ITraffic>
MakeTraffic(const document::RouterSettings& aSettings,
            std::uint32_t aIncarnation,
            metrics::Metrics& aMetrics);

}
