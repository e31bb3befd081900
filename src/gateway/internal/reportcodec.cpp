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
constexpr std::size_t kInitialBufferBytes = 2048;
constexpr int kWordBits = 32;
//! Unread tokens are sent in units of this many tokens, rounded up. An engine
//! prefills one unit in less than a millisecond.
constexpr std::uint32_t kUnreadUnit = 16;

//! Converts to 16 bits; larger counts become the maximum, which no engine
//! reaches.
std::uint16_t
SaturateTo16Bits(std::uint32_t aCount)
{
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aCount, kMax));
}

std::uint8_t
Raw(fleet::ReportScope aScope)
{
  return static_cast<std::uint8_t>(aScope);
}

//! Converts to milliseconds in 32 bits; longer times become the maximum.
std::uint32_t
SaturatedMillis(base::Duration aTime)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(ToWireMillis(aTime), kMax));
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

//! Calls aHandle for each element of a FlatBuffers vector, which may be absent.
template<typename Handler, typename List>
auto
ForEach(const List* aList, Handler aHandle)
{
  if (aList != nullptr) {
    for (const auto* item : *aList) {
      aHandle(*item);
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
  for (const auto& crash : aReport.crashUpdates.crashes) {
    const auto request = base::Raw(crash.request);
    crashes.emplace_back(LowHalf(request),
                         HighHalf(request),
                         base::Raw(crash.upstream),
                         SaturatedMillis(crash.age));
  }
  return crashes;
}

std::vector<fb::Clearance>
EncodeClearances(const fleet::PeerReport& aReport)
{
  std::vector<fb::Clearance> clearances;
  for (const auto& clearance : aReport.crashUpdates.clearances) {
    const auto request = base::Raw(clearance.request);
    clearances.emplace_back(
      LowHalf(request), HighHalf(request), SaturatedMillis(clearance.age));
  }
  return clearances;
}

std::vector<fb::PartCrash>
EncodePartCrashes(const fleet::PeerReport& aReport)
{
  std::vector<fb::PartCrash> crashes;
  for (const auto& crash : aReport.crashUpdates.partCrashes) {
    const auto part = base::Raw(crash.part);
    crashes.emplace_back(LowHalf(part),
                         HighHalf(part),
                         base::Raw(crash.upstream),
                         SaturatedMillis(crash.age));
  }
  return crashes;
}

std::vector<fb::PartAnswer>
EncodePartAnswers(const fleet::PeerReport& aReport)
{
  std::vector<fb::PartAnswer> answers;
  for (const auto& answer : aReport.crashUpdates.partAnswers) {
    const auto part = base::Raw(answer.part);
    answers.emplace_back(LowHalf(part),
                         HighHalf(part),
                         base::Raw(answer.answer),
                         SaturatedMillis(answer.age));
  }
  return answers;
}

//! Decodes the crash reports of a report.
quarantine::CrashUpdates
DecodeCrashUpdates(const fb::PeerReport& aWire)
{
  quarantine::CrashUpdates updates;
  ForEach(aWire.crashes(), [&](const fb::Crash& aCrash) {
    updates.crashes.push_back({ quarantine::RequestFingerprint(Join(
                                  aCrash.request_low(), aCrash.request_high())),
                                base::UpstreamId(aCrash.upstream()),
                                base::Duration(aCrash.age_ms()) });
  });
  ForEach(aWire.clearances(), [&](const fb::Clearance& aClearance) {
    updates.clearances.push_back(
      { quarantine::RequestFingerprint(
          Join(aClearance.request_low(), aClearance.request_high())),
        base::Duration(aClearance.age_ms()) });
  });
  ForEach(aWire.part_crashes(), [&](const fb::PartCrash& aCrash) {
    updates.partCrashes.push_back(
      { quarantine::PromptPartId(Join(aCrash.part_low(), aCrash.part_high())),
        base::UpstreamId(aCrash.upstream()),
        base::Duration(aCrash.age_ms()) });
  });
  ForEach(aWire.part_answers(), [&](const fb::PartAnswer& aAnswer) {
    updates.partAnswers.push_back(
      { quarantine::PromptPartId(Join(aAnswer.part_low(), aAnswer.part_high())),
        quarantine::AnswerId(aAnswer.answer()),
        base::Duration(aAnswer.age_ms()) });
  });
  return updates;
}

}

std::vector<std::uint8_t>
EncodeReport(const fleet::PeerReport& aReport)
{
  std::vector<fb::Load> loads;
  for (const auto& load : aReport.loads) {
    loads.emplace_back(
      base::Raw(load.upstream),
      SaturateTo16Bits((load.unreadTokens + kUnreadUnit - 1) / kUnreadUnit),
      SaturateTo16Bits(load.running));
  }
  std::vector<fb::Rate> rates;
  for (const auto& [workspace, rate] : aReport.rates) {
    rates.emplace_back(base::Raw(workspace),
                       static_cast<float>(rate.demand),
                       static_cast<float>(rate.admitted));
  }
  std::vector<fb::Calls> calls;
  for (const auto& [service, rate] : aReport.calls) {
    calls.emplace_back(base::Raw(service),
                       static_cast<float>(rate.demand),
                       static_cast<float>(rate.answered));
  }
  std::vector<fb::Use> uses;
  for (const auto& use : aReport.prefixUses) {
    uses.emplace_back(
      LowHalf(use.part), HighHalf(use.part), base::Raw(use.upstream));
  }
  std::vector<fb::HeardFrom> heard;
  for (const auto& one : aReport.heard) {
    heard.emplace_back(
      base::Raw(one.router), one.sequence, ToWireMillis(one.sentAt));
  }
  std::vector<fb::Address> members;
  for (const auto& member : aReport.members) {
    members.emplace_back(PackIp(member.address.ip),
                         member.zone,
                         SaturatedMillis(member.age),
                         member.address.port);
  }
  const auto crashes = EncodeCrashes(aReport);
  const auto clearances = EncodeClearances(aReport);
  const auto partCrashes = EncodePartCrashes(aReport);
  const auto partAnswers = EncodePartAnswers(aReport);
  flatbuffers::FlatBufferBuilder builder(kInitialBufferBytes);
  const auto root =
    fb::CreatePeerReportDirect(builder,
                               aReport.router.c_str(),
                               aReport.incarnation,
                               aReport.sequence,
                               ToWireMillis(aReport.sentAt),
                               Raw(aReport.scope),
                               aReport.zone,
                               aReport.group,
                               aReport.routerCount,
                               static_cast<float>(aReport.prefillDemand),
                               aReport.configVersion,
                               ToWireMillis(aReport.configAge),
                               aReport.wantsMembers,
                               &heard,
                               &loads,
                               &rates,
                               &uses,
                               &members,
                               PackIp(aReport.reader.ip),
                               aReport.reader.port,
                               SaturatedMillis(aReport.readerAge),
                               aReport.busyRouters,
                               aReport.relayed,
                               SaturatedMillis(aReport.loadAge),
                               &calls,
                               &crashes,
                               &clearances,
                               aReport.storeEra,
                               SaturatedMillis(aReport.storeEraAge),
                               &partCrashes,
                               &partAnswers);
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
  report.incarnation = wire->life();
  report.sequence = wire->sequence();
  report.sentAt = FromWireMillis(wire->sent_at_ms());
  report.scope = static_cast<fleet::ReportScope>(wire->scope());
  report.zone = wire->zone();
  report.group = wire->group();
  report.routerCount = wire->routers();
  report.prefillDemand = CheckedRate(wire->reading());
  report.configVersion = wire->config_version();
  report.configAge = FromWireMillis(wire->config_age_ms());
  report.wantsMembers = wire->wants_members();
  report.busyRouters = wire->busy();
  report.relayed = wire->relayed();
  report.loadAge = base::Duration(wire->load_age_ms());
  report.storeEra = wire->store_era();
  report.storeEraAge = base::Duration(wire->store_era_age_ms());
  if (wire->reader_port() > 0) {
    report.reader = { UnpackIp(wire->reader_ip()), wire->reader_port() };
    report.readerAge = base::Duration(wire->reader_age_ms());
  }
  ForEach(wire->heard(), [&](const fb::HeardFrom& aOne) {
    report.heard.push_back({ base::RouterId(aOne.router()),
                             aOne.sequence(),
                             FromWireMillis(aOne.sent_at_ms()) });
  });
  ForEach(wire->loads(), [&](const fb::Load& aLoad) {
    report.loads.push_back({ base::UpstreamId(aLoad.upstream()),
                             aLoad.unread() * kUnreadUnit,
                             aLoad.running() });
  });
  ForEach(wire->rates(), [&](const fb::Rate& aRate) {
    report.rates.push_back(
      { base::WorkspaceId(aRate.workspace()),
        { CheckedRate(aRate.asked()), CheckedRate(aRate.begun()) } });
  });
  ForEach(wire->calls(), [&](const fb::Calls& aCalls) {
    report.calls.push_back(
      { base::ServiceId(aCalls.service()),
        { CheckedRate(aCalls.asked()), CheckedRate(aCalls.answered()) } });
  });
  ForEach(wire->uses(), [&](const fb::Use& aUse) {
    report.prefixUses.push_back({ Join(aUse.part_low(), aUse.part_high()),
                                  base::UpstreamId(aUse.upstream()) });
  });
  report.crashUpdates = DecodeCrashUpdates(*wire);
  ForEach(wire->members(), [&](const fb::Address& aMember) {
    report.members.push_back({ { UnpackIp(aMember.ip()), aMember.port() },
                               aMember.zone(),
                               FromWireMillis(aMember.age_ms()) });
  });
  return report;
}

}
