#include "gateway/reportcodec.h"

#include "base/error.h"
#include "gateway/wiretime.h"
#include "peerreport_generated.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace hemlockgauge::gateway {

namespace fb = hemlockgauge::wire::fb;

namespace {

std::uint32_t
PackIp(const std::string& aIp)
{
  in_addr address{};
  inet_pton(AF_INET, aIp.c_str(), &address);
  return ntohl(address.s_addr);
}

std::string
UnpackIp(std::uint32_t aIp)
{
  in_addr address{ htonl(aIp) };
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

//! Initial size of the buffer for an encoded report.
constexpr std::size_t kBufferBytes = 2048;
constexpr int kWordBits = 32;
//! Unread tokens are sent in units of this many tokens, rounded up. An engine
//! reads one unit in less than a millisecond.
constexpr std::uint32_t kUnreadStep = 16;

//! Converts to 16 bits; larger counts become the maximum, which no engine
//! reaches.
std::uint16_t
Narrow(std::uint32_t aCount)
{
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aCount, kMost));
}

std::uint8_t
Raw(fleet::ReportScope aScope)
{
  return static_cast<std::uint8_t>(aScope);
}

//! Converts to milliseconds in 32 bits; longer times become the maximum.
std::uint32_t
Short(base::Duration aTime)
{
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(Unsigned(aTime), kMost));
}

//! Returns the rate, or throws Error(BadFrame) unless it is finite and not
//! negative: a single NaN would make every sum over the fleet NaN.
double
CheckedRate(float aRate)
{
  if (!std::isfinite(aRate) || aRate < 0) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "PeerReport has a rate of " + std::to_string(aRate) +
                        ", expected a finite number >= 0");
  }
  return aRate;
}

//! Calls aTake for each element of a FlatBuffers vector, which may be absent.
template<typename Wire, typename List>
auto
Each(const List* aList, Wire aTake)
{
  if (aList != nullptr) {
    for (const auto* item : *aList) {
      aTake(*item);
    }
  }
}

std::uint32_t
LowHalf(std::uint64_t aNumber)
{
  return static_cast<std::uint32_t>(aNumber);
}

std::uint32_t
HighHalf(std::uint64_t aNumber)
{
  return static_cast<std::uint32_t>(aNumber >> kWordBits);
}

std::uint64_t
Join(std::uint32_t aLow, std::uint32_t aHigh)
{
  return (std::uint64_t{ aHigh } << kWordBits) | aLow;
}

std::vector<fb::Crash>
EncodeCrashes(const fleet::PeerReport& aReport)
{
  std::vector<fb::Crash> crashes;
  for (const auto& crash : aReport.crashNews.crashes) {
    const auto request = base::Raw(crash.request);
    crashes.emplace_back(LowHalf(request),
                         HighHalf(request),
                         base::Raw(crash.upstream),
                         Short(crash.age));
  }
  return crashes;
}

std::vector<fb::Clearance>
EncodeClearances(const fleet::PeerReport& aReport)
{
  std::vector<fb::Clearance> clearances;
  for (const auto& clearance : aReport.crashNews.clearances) {
    const auto request = base::Raw(clearance.request);
    clearances.emplace_back(
      LowHalf(request), HighHalf(request), Short(clearance.age));
  }
  return clearances;
}

}

std::vector<std::uint8_t>
EncodeReport(const fleet::PeerReport& aReport)
{
  std::vector<fb::Load> loads;
  for (const auto& load : aReport.loads) {
    loads.emplace_back(
      base::Raw(load.upstream),
      Narrow((load.unreadTokens + kUnreadStep - 1) / kUnreadStep),
      Narrow(load.running));
  }
  std::vector<fb::Rate> rates;
  for (const auto& [workspace, rate] : aReport.rates) {
    rates.emplace_back(base::Raw(workspace),
                       static_cast<float>(rate.asked),
                       static_cast<float>(rate.begun));
  }
  std::vector<fb::Calls> calls;
  for (const auto& [service, rate] : aReport.calls) {
    calls.emplace_back(base::Raw(service),
                       static_cast<float>(rate.asked),
                       static_cast<float>(rate.answered));
  }
  std::vector<fb::Use> uses;
  for (const auto& use : aReport.uses) {
    uses.emplace_back(
      LowHalf(use.part), HighHalf(use.part), base::Raw(use.upstream));
  }
  std::vector<fb::HeardFrom> heard;
  for (const auto& one : aReport.heard) {
    heard.emplace_back(
      base::Raw(one.router), one.sequence, Unsigned(one.sentAt));
  }
  std::vector<fb::Address> members;
  for (const auto& member : aReport.members) {
    members.emplace_back(PackIp(member.address.ip),
                         member.zone,
                         Short(member.age),
                         member.address.port);
  }
  const auto crashes = EncodeCrashes(aReport);
  const auto clearances = EncodeClearances(aReport);
  flatbuffers::FlatBufferBuilder builder(kBufferBytes);
  const auto root =
    fb::CreatePeerReportDirect(builder,
                               aReport.router.c_str(),
                               aReport.life,
                               aReport.sequence,
                               Unsigned(aReport.sentAt),
                               Raw(aReport.scope),
                               aReport.zone,
                               aReport.group,
                               aReport.routers,
                               static_cast<float>(aReport.reading),
                               aReport.configVersion,
                               Unsigned(aReport.configAge),
                               aReport.wantsMembers,
                               &heard,
                               &loads,
                               &rates,
                               &uses,
                               &members,
                               PackIp(aReport.reader.ip),
                               aReport.reader.port,
                               Short(aReport.readerAge),
                               aReport.busy,
                               aReport.relayed,
                               Short(aReport.loadAge),
                               &calls,
                               &crashes,
                               &clearances,
                               aReport.storeEra,
                               Short(aReport.storeEraAge));
  fb::FinishPeerReportBuffer(builder, root);
  const auto* data = builder.GetBufferPointer();
  return { data, data + builder.GetSize() };
}

fleet::PeerReport
DecodeReport(const std::uint8_t* aBytes, std::size_t aSize)
{
  flatbuffers::Verifier verifier(aBytes, aSize);
  if (!fb::VerifyPeerReportBuffer(verifier)) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "not a valid PeerReport buffer");
  }
  const auto* wire = fb::GetPeerReport(aBytes);
  if (wire->scope() > Raw(fleet::ReportScope::Zone)) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "PeerReport.scope is " + std::to_string(wire->scope()) +
                        ", expected at most " +
                        std::to_string(Raw(fleet::ReportScope::Zone)));
  }
  fleet::PeerReport report;
  report.router = wire->router()->str();
  report.life = wire->life();
  report.sequence = wire->sequence();
  report.sentAt = Signed(wire->sent_at_ms());
  report.scope = static_cast<fleet::ReportScope>(wire->scope());
  report.zone = wire->zone();
  report.group = wire->group();
  report.routers = wire->routers();
  report.reading = CheckedRate(wire->reading());
  report.configVersion = wire->config_version();
  report.configAge = Signed(wire->config_age_ms());
  report.wantsMembers = wire->wants_members();
  report.busy = wire->busy();
  report.relayed = wire->relayed();
  report.loadAge = base::Duration(wire->load_age_ms());
  report.storeEra = wire->store_era();
  report.storeEraAge = base::Duration(wire->store_era_age_ms());
  if (wire->reader_port() > 0) {
    report.reader = { UnpackIp(wire->reader_ip()), wire->reader_port() };
    report.readerAge = base::Duration(wire->reader_age_ms());
  }
  Each(wire->heard(), [&](const fb::HeardFrom& aOne) {
    report.heard.push_back({ base::RouterId(aOne.router()),
                             aOne.sequence(),
                             Signed(aOne.sent_at_ms()) });
  });
  Each(wire->loads(), [&](const fb::Load& aLoad) {
    report.loads.push_back({ base::UpstreamId(aLoad.upstream()),
                             aLoad.unread() * kUnreadStep,
                             aLoad.running() });
  });
  Each(wire->rates(), [&](const fb::Rate& aRate) {
    report.rates.push_back(
      { base::WorkspaceId(aRate.workspace()),
        { CheckedRate(aRate.asked()), CheckedRate(aRate.begun()) } });
  });
  Each(wire->calls(), [&](const fb::Calls& aCalls) {
    report.calls.push_back(
      { base::ServiceId(aCalls.service()),
        { CheckedRate(aCalls.asked()), CheckedRate(aCalls.answered()) } });
  });
  Each(wire->uses(), [&](const fb::Use& aUse) {
    report.uses.push_back({ Join(aUse.part_low(), aUse.part_high()),
                            base::UpstreamId(aUse.upstream()) });
  });
  Each(wire->crashes(), [&](const fb::Crash& aCrash) {
    report.crashNews.crashes.push_back(
      { quarantine::RequestFingerprint(
          Join(aCrash.request_low(), aCrash.request_high())),
        base::UpstreamId(aCrash.upstream()),
        base::Duration(aCrash.age_ms()) });
  });
  Each(wire->clearances(), [&](const fb::Clearance& aClearance) {
    report.crashNews.clearances.push_back(
      { quarantine::RequestFingerprint(
          Join(aClearance.request_low(), aClearance.request_high())),
        base::Duration(aClearance.age_ms()) });
  });
  Each(wire->members(), [&](const fb::Address& aMember) {
    report.members.push_back({ { UnpackIp(aMember.ip()), aMember.port() },
                               aMember.zone(),
                               Signed(aMember.age_ms()) });
  });
  return report;
}

}
