#include "traffic/trafficmodule.h"

#include "traffic/internal/trafficplane.h"

namespace hemlockgauge::traffic {

std::unique_ptr<ITraffic>
MakeTraffic(const document::RouterSettings& aSettings,
            std::uint32_t aIncarnation,
            metrics::Metrics& aMetrics)
{
  return std::make_unique<TrafficPlane>(aSettings, aIncarnation, aMetrics);
}

}
