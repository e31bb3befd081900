#include "document/settingsparser.h"

#include "base/error.h"
#include "document/sectionreader.h"

#include <fstream>
#include <sstream>

namespace hemlockgauge::document {

using base::Error;
using base::ErrorCode;

namespace {

base::Duration
ReadMillis(SectionReader& aReader,
           std::string_view aKey,
           base::Duration aDefault)
{
  return base::Duration(aReader.NumberOr(
    aKey, 0, 3600000, static_cast<uint32_t>(aDefault.count())));
}

void
ReadRouter(SectionReader aReader, RouterSettings& aSettings)
{
  aSettings.id = aReader.Text("id");
  aSettings.zone = aReader.Text("availability_zone");
  aSettings.listen = aReader.Address("listen");
  aSettings.peerListen = aReader.Address("peer_listen");
  aSettings.adminListen = aReader.Address("admin_listen");
  aSettings.trafficThreads = aReader.NumberOr("traffic_threads", 1, 64, 2);
  aSettings.maxConnections =
    aReader.NumberOr("max_connections", 16, 65536, 4096);
  aSettings.maxBodyBytes =
    aReader.NumberOr("max_body_bytes", 1024, 64 << 20, 1 << 20);
  aSettings.maxBufferedBytes =
    std::size_t{ aReader.NumberOr("max_buffered_mb", 1, 65536, 64) } << 20U;
  if (aSettings.maxBufferedBytes < aSettings.maxBodyBytes) {
    aReader.Fail(ErrorCode::BadValue,
                 "max_buffered_mb",
                 "expected at least max_body_bytes");
  }
  aSettings.callerTimeout =
    ReadMillis(aReader, "caller_timeout_ms", aSettings.callerTimeout);
  aSettings.drainNotice =
    ReadMillis(aReader, "drain_notice_ms", aSettings.drainNotice);
  aSettings.stopTimeout =
    ReadMillis(aReader, "stop_limit_ms", aSettings.stopTimeout);
  aSettings.logLevel = aReader.TextOr("log_level", "info");
  const auto policy =
    kPolicyKindNames.ValueOf(aReader.TextOr("policy", "entitlement"));
  if (!policy) {
    aReader.Fail(ErrorCode::BadValue,
                 "policy",
                 "expected entitlement, equal-part or least-loaded");
  }
  aSettings.policy = *policy;
  aReader.RejectUnknownKeys();
}

void
ReadPlatform(SectionReader aReader, RouterSettings& aSettings)
{
  aSettings.platform = aReader.Address("address");
  aReader.RejectUnknownKeys();
}

void
ReadPeers(SectionReader aReader, RouterSettings& aSettings)
{
  for (const auto& seed : aReader.All("seed")) {
    try {
      aSettings.seeds.push_back(base::ParseAddress(seed));
    } catch (const Error& error) {
      aReader.Fail(error.Code(), "seed", error.what());
    }
  }
  aReader.RejectUnknownKeys();
}

}

RouterSettings
ParseSettings(const std::string& aFile, std::string_view aText)
{
  RouterSettings settings;
  bool hasRouter = false;
  bool hasPlatform = false;
  for (const auto& section : ReadIni(aFile, aText)) {
    if (section.name == "router") {
      ReadRouter(SectionReader(aFile, section), settings);
      hasRouter = true;
    } else if (section.name == "platform") {
      ReadPlatform(SectionReader(aFile, section), settings);
      hasPlatform = true;
    } else if (section.name == "peers") {
      ReadPeers(SectionReader(aFile, section), settings);
    } else {
      throw Error(ErrorCode::UnknownKey,
                  aFile + ":" + std::to_string(section.entries.front().line) +
                    ": [" + section.name +
                    "]: expected [router], [platform] or [peers]");
    }
  }
  if (!hasRouter || !hasPlatform) {
    throw Error(ErrorCode::MissingKey,
                aFile + ": expected the sections [router] and [platform]");
  }
  return settings;
}

std::string
ReadTextFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    throw Error(ErrorCode::Unreachable, aFile + ": expected a readable file");
  }
  return text.str();
}

}
