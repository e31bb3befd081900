#pragma once

#include "fleet/peerreport.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::gateway {

//! Encodes a report as a FlatBuffers PeerReport.
std::vector<std::uint8_t>
EncodeReport(const fleet::PeerReport& aReport);

//! Throws Error(BadFrame) if the bytes are not a valid report.
fleet::PeerReport
DecodeReport(const std::uint8_t* aBytes, std::size_t aSize);

}
