#pragma once

#include "fleet/peerreport.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::gateway {

std::vector<std::uint8_t>
EncodeReport(const fleet::PeerReport& aReport);

//! Throws Error(BadFrame) unless the bytes hold a report.
fleet::PeerReport
DecodeReport(const std::uint8_t* aBytes, std::size_t aSize);

}
