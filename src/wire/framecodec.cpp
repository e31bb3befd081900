#include "wire/framecodec.h"

#include "base/error.h"
#include <peer_generated.h>

#include <arpa/inet.h>

#include <algorithm>
#include <limits>

namespace hemlockgauge::wire {

using base::Error;
using base::ErrorCode;

namespace {

// Limits of the FlatBuffers verifier against malicious or corrupt frames
constexpr flatbuffers::uoffset_t kMaxTables = 100000;
constexpr flatbuffers::uoffset_t kMaxDepth = 8;
constexpr int kWordBits = 32;

template<typename Wire, typename Items, typename Convert>
flatbuffers::Offset<flatbuffers::Vector<const Wire*>>
CreateStructVector(flatbuffers::FlatBufferBuilder& aBuilder,
                   const Items& aItems,
                   Convert aConvert)
{
  if (aItems.empty()) {
    return 0;
  }
  std::vector<Wire> wire;
  wire.reserve(aItems.size());
  for (const auto& item : aItems) {
    wire.push_back(aConvert(item));
  }
  return aBuilder.CreateVectorOfStructs(wire);
}

template<typename Wire, typename Items, typename Convert>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Wire>>>
CreateTableVector(flatbuffers::FlatBufferBuilder& aBuilder,
                  const Items& aItems,
                  Convert aConvert)
{
  if (aItems.empty()) {
    return 0;
  }
  std::vector<flatbuffers::Offset<Wire>> wire;
  wire.reserve(aItems.size());
  for (const auto& item : aItems) {
    wire.push_back(aConvert(item));
  }
  return aBuilder.CreateVector(wire);
}

template<typename Item, typename Vector, typename Convert>
std::vector<Item>
ReadVector(const Vector* aVector, Convert aConvert)
{
  std::vector<Item> items;
  if (aVector == nullptr) {
    return items;
  }
  items.reserve(aVector->size());
  for (const auto* one : *aVector) {
    items.push_back(aConvert(*one));
  }
  return items;
}

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

template<typename Enum>
Enum
EnumOf(std::uint8_t aValue, Enum aLast)
{
  if (aValue > static_cast<std::uint8_t>(aLast)) {
    throw Error(ErrorCode::BadFrame,
                "unknown enum value " + std::to_string(aValue) +
                  ", expected at most " +
                  std::to_string(static_cast<std::uint8_t>(aLast)));
  }
  return static_cast<Enum>(aValue);
}

base::Address
AddressOf(const flatbuffers::String* aIp, std::uint16_t aPort)
{
  base::Address address{ TextOf(aIp), aPort };
  in_addr ignored{};
  const bool empty = address.ip.empty() && aPort == 0;
  if (!empty && inet_pton(AF_INET, address.ip.c_str(), &ignored) != 1) {
    throw Error(ErrorCode::BadFrame,
                "address \"" + address.Text() +
                  "\" does not contain an IPv4 address");
  }
  return address;
}

std::uint32_t
LowHalf(quarantine::RequestFingerprint aRequest)
{
  return static_cast<std::uint32_t>(base::Raw(aRequest));
}

std::uint32_t
HighHalf(quarantine::RequestFingerprint aRequest)
{
  return static_cast<std::uint32_t>(base::Raw(aRequest) >> kWordBits);
}

quarantine::RequestFingerprint
JoinHalves(std::uint32_t aLow, std::uint32_t aHigh)
{
  return quarantine::RequestFingerprint((std::uint64_t{ aHigh } << kWordBits) |
                                        aLow);
}

std::uint32_t
Millis(base::Duration aAge)
{
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aAge.count(), 0, kMost));
}

fb::FrameCrash
PutCrash(const quarantine::CrashReport& aCrash)
{
  return { LowHalf(aCrash.request),
           HighHalf(aCrash.request),
           base::Raw(aCrash.upstream),
           Millis(aCrash.age) };
}

quarantine::CrashReport
GetCrash(const fb::FrameCrash& aCrash)
{
  return { JoinHalves(aCrash.request_low(), aCrash.request_high()),
           base::UpstreamId(aCrash.upstream()),
           base::Duration(aCrash.age_ms()) };
}

fb::FrameClearance
PutClearance(const quarantine::ClearanceReport& aClearance)
{
  return { LowHalf(aClearance.request),
           HighHalf(aClearance.request),
           Millis(aClearance.age) };
}

quarantine::ClearanceReport
GetClearance(const fb::FrameClearance& aClearance)
{
  return { JoinHalves(aClearance.request_low(), aClearance.request_high()),
           base::Duration(aClearance.age_ms()) };
}

flatbuffers::Offset<fb::Host>
PutHost(flatbuffers::FlatBufferBuilder& aBuilder,
        const decision::HostEntry& aHost)
{
  return fb::CreateHostDirect(aBuilder,
                              aHost.name.c_str(),
                              static_cast<std::uint8_t>(aHost.role),
                              static_cast<std::uint8_t>(aHost.state),
                              aHost.zone.c_str(),
                              aHost.address.ip.c_str(),
                              aHost.address.port,
                              aHost.peerAddress.ip.c_str(),
                              aHost.peerAddress.port,
                              aHost.pool.c_str(),
                              aHost.revision);
}

decision::HostEntry
GetHost(const fb::Host& aHost)
{
  decision::HostEntry host;
  host.name = TextOf(aHost.name());
  host.role = EnumOf(aHost.role(), decision::HostRole::Upstream);
  host.state = EnumOf(aHost.state(), decision::HostState::Gone);
  host.zone = TextOf(aHost.zone());
  host.address = AddressOf(aHost.ip(), aHost.port());
  host.peerAddress = AddressOf(aHost.peer_ip(), aHost.peer_port());
  host.pool = TextOf(aHost.pool());
  host.revision = aHost.revision();
  return host;
}

fb::Demand
PutDemand(const decision::DemandEntry& aEntry)
{
  return { base::Raw(aEntry.workspace), aEntry.demand, aEntry.served };
}

fb::Total
PutTotal(const decision::TotalEntry& aEntry)
{
  return { base::Raw(aEntry.workspace), aEntry.demand, aEntry.lagMs };
}

decision::TotalEntry
GetTotal(const fb::Total& aEntry)
{
  return { base::WorkspaceId(aEntry.workspace()),
           aEntry.demand(),
           aEntry.behind_ms() };
}

decision::DemandEntry
GetDemand(const fb::Demand& aEntry)
{
  return { base::WorkspaceId(aEntry.workspace()),
           aEntry.demand(),
           aEntry.served() };
}

}

std::vector<std::uint8_t>
EncodeFrame(const decision::Frame& aFrame)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto members = CreateStructVector<fb::Member>(
    builder, aFrame.members, [](const decision::MemberNotice& aOne) {
      return fb::Member(base::Raw(aOne.router),
                        aOne.incarnation,
                        static_cast<std::uint8_t>(aOne.state));
    });
  const auto hosts =
    CreateTableVector<fb::Host>(builder, aFrame.hosts, [&](const auto& aOne) {
      return PutHost(builder, aOne);
    });
  const auto versions = CreateTableVector<fb::Version>(
    builder, aFrame.versions, [&](const auto& aOne) {
      return fb::CreateVersionDirect(builder, aOne.name.c_str(), aOne.revision);
    });
  const auto documents = CreateTableVector<fb::Document>(
    builder, aFrame.documents, [&](const auto& aOne) {
      const auto name = builder.CreateString(aOne.name);
      const auto text = builder.CreateString(aOne.text);
      return fb::CreateDocument(builder, name, aOne.revision, text);
    });
  const auto up =
    CreateStructVector<fb::Demand>(builder, aFrame.subtreeDemand, PutDemand);
  const auto down =
    CreateStructVector<fb::Total>(builder, aFrame.fleetTotals, PutTotal);
  const auto hints = CreateStructVector<fb::Hint>(
    builder, aFrame.hints, [](const decision::FreeHint& aOne) {
      return fb::Hint(base::Raw(aOne.upstream), aOne.free);
    });
  const auto reports = CreateStructVector<fb::Report>(
    builder, aFrame.reports, [](const decision::SlotReport& aOne) {
      return fb::Report(base::Raw(aOne.upstream),
                        aOne.ownerBoot,
                        aOne.ackedSequence,
                        aOne.held,
                        aOne.inUse,
                        aOne.want,
                        aOne.heldPercent);
    });
  const auto grants = CreateStructVector<fb::Grant>(
    builder, aFrame.grants, [](const decision::SlotGrant& aOne) {
      return fb::Grant(
        base::Raw(aOne.upstream), aOne.sequence, aOne.granted, aOne.wantedBack);
    });
  const auto crashes = CreateStructVector<fb::FrameCrash>(
    builder, aFrame.crashUpdates.crashes, PutCrash);
  const auto clearances = CreateStructVector<fb::FrameClearance>(
    builder, aFrame.crashUpdates.clearances, PutClearance);
  fb::FinishFrameBuffer(builder,
                        fb::CreateFrame(builder,
                                        base::Raw(aFrame.sender),
                                        aFrame.incarnation,
                                        aFrame.boot,
                                        aFrame.sequence,
                                        aFrame.digest,
                                        aFrame.membersDigest,
                                        aFrame.wantsSnapshot,
                                        members,
                                        hosts,
                                        versions,
                                        documents,
                                        up,
                                        down,
                                        hints,
                                        reports,
                                        grants,
                                        crashes,
                                        clearances));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

decision::Frame
DecodeFrame(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() > kMaxFrameBytes) {
    throw Error(ErrorCode::BadFrame,
                "frame of " + std::to_string(aBytes.size()) +
                  " bytes exceeds the maximum of " +
                  std::to_string(kMaxFrameBytes));
  }
  flatbuffers::Verifier verifier(
    aBytes.data(), aBytes.size(), kMaxDepth, kMaxTables);
  if (!fb::VerifyFrameBuffer(verifier)) {
    throw Error(ErrorCode::BadFrame, "frame failed FlatBuffers verification");
  }
  const auto* wire = fb::GetFrame(aBytes.data());
  decision::Frame frame;
  frame.sender = base::RouterId(wire->sender());
  frame.incarnation = wire->incarnation();
  frame.boot = wire->boot();
  frame.sequence = wire->sequence();
  frame.digest = wire->digest();
  frame.membersDigest = wire->members_digest();
  frame.wantsSnapshot = wire->wants_snapshot();
  frame.members = ReadVector<decision::MemberNotice>(
    wire->members(), [](const fb::Member& aOne) {
      return decision::MemberNotice{ base::RouterId(aOne.router()),
                                     aOne.incarnation(),
                                     EnumOf(aOne.state(),
                                            decision::MemberState::Dead) };
    });
  frame.hosts = ReadVector<decision::HostEntry>(wire->hosts(), GetHost);
  frame.versions = ReadVector<decision::DocumentVersion>(
    wire->versions(), [](const fb::Version& aOne) {
      return decision::DocumentVersion{ TextOf(aOne.name()), aOne.revision() };
    });
  frame.documents = ReadVector<decision::DocumentBody>(
    wire->documents(), [](const fb::Document& aOne) {
      return decision::DocumentBody{ TextOf(aOne.name()),
                                     aOne.revision(),
                                     TextOf(aOne.text()) };
    });
  frame.subtreeDemand =
    ReadVector<decision::DemandEntry>(wire->up(), GetDemand);
  frame.fleetTotals = ReadVector<decision::TotalEntry>(wire->down(), GetTotal);
  frame.hints = ReadVector<
    decision::FreeHint>(wire->hints(), [](const fb::Hint& aOne) {
    return decision::FreeHint{ base::UpstreamId(aOne.upstream()), aOne.free() };
  });
  frame.reports = ReadVector<decision::SlotReport>(
    wire->reports(), [](const fb::Report& aOne) {
      return decision::SlotReport{ base::UpstreamId(aOne.upstream()),
                                   aOne.owner_boot(),
                                   aOne.acked_grant(),
                                   aOne.held(),
                                   aOne.in_use(),
                                   aOne.want(),
                                   aOne.urgency() };
    });
  frame.grants =
    ReadVector<decision::SlotGrant>(wire->grants(), [](const fb::Grant& aOne) {
      return decision::SlotGrant{ base::UpstreamId(aOne.upstream()),
                                  aOne.sequence(),
                                  aOne.granted(),
                                  aOne.wanted_back() };
    });
  frame.crashUpdates.crashes =
    ReadVector<quarantine::CrashReport>(wire->crashes(), GetCrash);
  frame.crashUpdates.clearances =
    ReadVector<quarantine::ClearanceReport>(wire->clearances(), GetClearance);
  return frame;
}

}
