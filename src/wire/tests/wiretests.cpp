#include "base/error.h"
#include "decision/decisioncore.h"
#include "wire/framecodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace hemlockgauge;
using decision::Frame;

namespace {

Frame
FullFrame(std::size_t aEntries)
{
  Frame frame;
  frame.sender = base::RouterId(7);
  frame.incarnation = 3;
  frame.sequence = 9;
  frame.digest = 5;
  for (std::uint32_t i = 0; i < aEntries; ++i) {
    frame.members.push_back(
      { base::RouterId(i), i, decision::MemberState::Left });
    frame.subtreeDemand.push_back({ base::WorkspaceId(i), i * 3, i * 7 });
    frame.fleetTotals.push_back({ base::WorkspaceId(i), i * 5, -7 });
    frame.hints.push_back({ base::UpstreamId(i), 2 });
    frame.reports.push_back({ base::UpstreamId(i), 8, i, 1, 2, 3, 4 });
    frame.grants.push_back({ base::UpstreamId(i), i, 6, 9 });
    const auto request =
      quarantine::RequestFingerprint(0xfedcba9800000000ULL + i);
    frame.crashUpdates.crashes.push_back(
      { request, base::UpstreamId(i), base::Duration(100 + i) });
    frame.crashUpdates.clearances.push_back({ request, base::Duration(i) });
    frame.versions.push_back({ "doc" + std::to_string(i), i });
  }
  decision::HostEntry host;
  host.name = "torino-a-1";
  host.role = decision::HostRole::Router;
  host.zone = "torino-a";
  host.address = { "127.0.0.1", 80 };
  host.peerAddress = { "127.0.0.1", 81 };
  host.revision = 12;
  frame.hosts.push_back(host);
  frame.documents.push_back({ "chat", 4, std::string(3000, 'x') });
  return frame;
}

bool
DecodesOrThrows(const std::vector<std::uint8_t>& aBytes)
{
  try {
    wire::DecodeFrame(aBytes);
  } catch (const base::Error& error) {
    return error.Code() == base::ErrorCode::BadFrame;
  }
  return true;
}

}

Test(wire, FrameRoundTrips)
{
  const auto frame = FullFrame(3);
  const auto copy = wire::DecodeFrame(wire::EncodeFrame(frame));
  cr_assert(copy.members == frame.members);
  cr_assert(copy.reports[2].want == 3);
  cr_assert(copy.grants[1].wantedBack == 9);
  const auto& crash = copy.crashUpdates.crashes[2];
  cr_assert(crash.request == frame.crashUpdates.crashes[2].request);
  cr_assert(crash.upstream == base::UpstreamId(2));
  cr_assert(crash.age == base::Duration(102));
  cr_assert(copy.crashUpdates.clearances[1].age == base::Duration(1));
  cr_assert(copy.hosts[0].peerAddress == frame.hosts[0].peerAddress);
  cr_assert(copy.documents[0].text == frame.documents[0].text);
  cr_assert(copy.fleetTotals[2].demand == 10 &&
            copy.fleetTotals[2].lagMs == -7);
  cr_assert(wire::EncodeFrame(copy) == wire::EncodeFrame(frame));
}

Test(wire, EstimateNeverUndercountsFrameBytes)
{
  for (const std::size_t entries : { 0U, 1U, 5U, 40U }) {
    const auto frame = FullFrame(entries);
    const auto real = wire::EncodeFrame(frame).size() + 4 + 52 + 53;
    const auto counted = decision::EstimateFrameBytes(frame);
    cr_assert(counted >= real, "%zu %zu", counted, real);
    cr_assert(counted < real * 13 / 10 + 40, "%zu %zu", counted, real);
  }
}

Test(wire, InvalidBytesThrowBadFrame)
{
  const bool random =
    rc::check("random bytes", [](const std::vector<std::uint8_t>& aBytes) {
      RC_ASSERT(DecodesOrThrows(aBytes));
    });
  cr_assert(random);
  const auto good = wire::EncodeFrame(FullFrame(4));
  const bool mutated = rc::check("a good frame with bytes changed", [&] {
    auto bytes = good;
    const auto changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    RC_ASSERT(DecodesOrThrows(bytes));
  });
  cr_assert(mutated);
}
