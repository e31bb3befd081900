#include "gateway/gatewaysettings.h"

#include "base/error.h"
#include "document/inireader.h"
#include "document/sectionreader.h"
#include "document/settingsparser.h"

namespace hemlockgauge::gateway {

using base::Error;
using base::ErrorCode;
using document::SectionReader;

namespace {

constexpr std::uint32_t kMaxTimeMs = 3600000; // one hour
constexpr double kMaxRatio = 100.0;
constexpr double kMaxSlack = 1e6;
constexpr double kMaxLoggedPerSecond = 1e6;
constexpr double kMaxProcessorShare = 1024;
constexpr unsigned kMbShift = 20;
constexpr std::uint32_t kMinMemoryLimitMb = 16;
constexpr std::uint32_t kMaxMemoryLimitMb = 1U << 20U; // 1 TiB
constexpr std::uint32_t kMinDescriptors = 400;
constexpr std::uint32_t kMaxDescriptors = 1U << 20U;
constexpr std::uint32_t kMaxWaitingRequests = 1000000;
constexpr std::uint32_t kMaxWaitingBytes = 1U << 30U; // 1 GiB

//! Reads a time in milliseconds, at most an hour.
base::Duration
ReadMillis(SectionReader& aReader,
           std::string_view aKey,
           base::Duration aDefault)
{
  return base::Duration(aReader.NumberOr(
    aKey, 0, kMaxTimeMs, static_cast<std::uint32_t>(aDefault.count())));
}

//! Splits a list at commas and skips empty parts.
std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t from = 0;
  while (from < aText.size()) {
    const auto comma = std::min(aText.find(',', from), aText.size());
    if (comma > from) {
      parts.push_back(aText.substr(from, comma - from));
    }
    from = comma + 1;
  }
  return parts;
}

//! Reads a value by its name in a name table.
template<typename Kind, typename Names>
Kind
ReadNamedValue(SectionReader& aReader,
               std::string_view aKey,
               const Names& aNames,
               Kind aDefault)
{
  const auto text = aReader.TextOr(aKey, aNames.NameOf(aDefault));
  const auto value = aNames.ValueOf(text);
  if (!value) {
    aReader.Fail(
      ErrorCode::BadValue, aKey, "\"" + text + "\" is not a known value");
  }
  return *value;
}

void
ReadGateway(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.id = aReader.Text("id");
  aSettings.zone = aReader.Text("availability_zone");
  aSettings.callersListen = aReader.Address("callers_listen");
  aSettings.probeListen = aReader.Address("probe_listen");
  aSettings.controlListen = aReader.Address("control_listen");
  aSettings.peerListen = aReader.Address("peer_listen");
  aSettings.stopGracePeriod =
    ReadMillis(aReader, "stop_grace_ms", aSettings.stopGracePeriod);
  aSettings.processorShare = aReader.RealOr(
    "processor_share", 0, kMaxProcessorShare, aSettings.processorShare);
  aSettings.memoryLimit = std::size_t{
    aReader.NumberOr("memory_limit_mb",
                     kMinMemoryLimitMb,
                     kMaxMemoryLimitMb,
                     kDefaultMemoryLimit >> kMbShift)
  } << kMbShift;
  aSettings.maxDescriptors = aReader.NumberOr("max_descriptors",
                                              kMinDescriptors,
                                              kMaxDescriptors,
                                              kDefaultMaxDescriptors);
  aSettings.logLevel = aReader.TextOr("log_level", "info");
  aSettings.loggedPerSecond = aReader.RealOr("logged_requests_per_second",
                                             1,
                                             kMaxLoggedPerSecond,
                                             aSettings.loggedPerSecond);
  aSettings.placement = ReadNamedValue(
    aReader, "placement", fleet::kPlacementKindNames, aSettings.placement);
  aReader.RejectUnknownKeys();
}

void
ReadStore(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.store = aReader.Address("address");
  aSettings.upstreamHeartbeatInterval = ReadMillis(
    aReader, "upstream_heartbeat_ms", aSettings.upstreamHeartbeatInterval);
  aSettings.revocationBound =
    ReadMillis(aReader, "revocation_bound_ms", aSettings.revocationBound);
  aReader.RejectUnknownKeys();
}

void
ReadRetries(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.retryRatio =
    aReader.RealOr("ratio", 0, kMaxRatio, aSettings.retryRatio);
  aSettings.retrySlack =
    aReader.RealOr("slack", 0, kMaxSlack, aSettings.retrySlack);
  aSettings.retryWindow =
    ReadMillis(aReader, "window_ms", aSettings.retryWindow);
  aReader.RejectUnknownKeys();
}

void
ReadColdLimit(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.coldLimit.overrun =
    aReader.RealOr("overrun", 0, kMaxRatio, aSettings.coldLimit.overrun);
  aSettings.coldLimit.slack =
    aReader.RealOr("slack", 0, kMaxSlack, aSettings.coldLimit.slack);
  aReader.RejectUnknownKeys();
}

void
ReadWaiting(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.waiting.requests =
    aReader.NumberOr("max_requests", 0, kMaxWaitingRequests, 0);
  aSettings.waiting.bytes =
    aReader.NumberOr("max_bytes", 0, kMaxWaitingBytes, 0);
  aReader.RejectUnknownKeys();
}

void
ReadOverload(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.usesStatedLoads = ReadNamedValue(
    aReader, "use_stated_load", kSwitchNames, aSettings.usesStatedLoads);
  aSettings.spreadsRetries = ReadNamedValue(
    aReader, "spread_retries", kSwitchNames, aSettings.spreadsRetries);
  aReader.RejectUnknownKeys();
}

//! Reads lines of the form "zone = ZONE:REGION".
void
ReadRegions(SectionReader aReader, GatewaySettings& aSettings)
{
  for (const auto& line : aReader.All("zone")) {
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string::npos || colon + 1 == line.size()) {
      aReader.Fail(ErrorCode::BadValue, "zone", "expected ZONE:REGION");
    }
    aSettings.regionOfZone[line.substr(0, colon)] = line.substr(colon + 1);
  }
  aReader.RejectUnknownKeys();
}

void
ReadPeers(SectionReader aReader, GatewaySettings& aSettings)
{
  aSettings.seedWait = ReadMillis(aReader, "seed_wait_ms", aSettings.seedWait);
  for (const auto& part : SplitList(aReader.TextOr("seeds", ""))) {
    try {
      aSettings.seeds.push_back(base::ParseAddress(part));
    } catch (const Error& error) {
      aReader.Fail(error.Code(), "seeds", error.what());
    }
  }
  aReader.RejectUnknownKeys();
}

}

std::vector<base::Address>
SeedPeerAddresses(const GatewaySettings& aSettings)
{
  std::vector<base::Address> seeds;
  for (const auto& seed : aSettings.seeds) {
    seeds.push_back({ seed.ip, aSettings.peerListen.port });
  }
  return seeds;
}

GatewaySettings
ParseGatewaySettings(const std::string& aFile, std::string_view aText)
{
  GatewaySettings settings;
  bool hasGateway = false;
  bool hasStore = false;
  for (const auto& section : document::ReadIni(aFile, aText)) {
    const SectionReader reader(aFile, section);
    if (section.name == "gateway") {
      ReadGateway(reader, settings);
      hasGateway = true;
    } else if (section.name == "store") {
      ReadStore(reader, settings);
      hasStore = true;
    } else if (section.name == "retries") {
      ReadRetries(reader, settings);
    } else if (section.name == "peers") {
      ReadPeers(reader, settings);
    } else if (section.name == "cold_upstreams") {
      ReadColdLimit(reader, settings);
    } else if (section.name == "waiting") {
      ReadWaiting(reader, settings);
    } else if (section.name == "overload") {
      ReadOverload(reader, settings);
    } else if (section.name == "regions") {
      ReadRegions(reader, settings);
    } else {
      throw Error(ErrorCode::UnknownKey,
                  aFile + ":" + std::to_string(section.entries.front().line) +
                    ": [" + section.name +
                    "]: expected [gateway], [store], [retries], [peers], "
                    "[cold_upstreams], [waiting], [overload] or [regions]");
    }
  }
  if (!hasGateway || !hasStore) {
    throw Error(ErrorCode::MissingKey,
                aFile + ": expected the sections [gateway] and [store]");
  }
  return settings;
}

GatewaySettings
ReadGatewaySettings(const std::string& aFile)
{
  return ParseGatewaySettings(aFile, document::ReadTextFile(aFile));
}

}
