#include "gateway/tellingcodec.h"

#include "base/error.h"
#include "telling_generated.h"

#include <arpa/inet.h>

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

}

std::vector<std::uint8_t>
EncodeTelling(const TellingDatagram& aDatagram)
{
  const auto& telling = aDatagram.telling;
  std::vector<fb::Load> loads;
  for (const auto& load : telling.loads) {
    loads.emplace_back(
      base::Raw(load.upstream), load.unreadTokens, load.running);
  }
  std::vector<fb::Rate> rates;
  for (const auto& [workspace, rate] : telling.rates) {
    rates.emplace_back(base::Raw(workspace),
                       static_cast<float>(rate.asked),
                       static_cast<float>(rate.begun));
  }
  std::vector<fb::Use> uses;
  for (const auto& use : telling.uses) {
    uses.emplace_back(use.part, base::Raw(use.upstream));
  }
  std::vector<fb::Echo> echoes;
  for (const auto& echo : telling.echoes) {
    echoes.emplace_back(base::Raw(echo.router),
                        static_cast<std::uint64_t>(echo.sentAt.count()));
  }
  std::vector<fb::Member> members;
  for (const auto& member : aDatagram.members) {
    members.emplace_back(PackIp(member.ip), member.port);
  }
  flatbuffers::FlatBufferBuilder builder(2048);
  const auto root =
    fb::CreateTellingDirect(builder,
                            telling.router.c_str(),
                            telling.life,
                            telling.sequence,
                            static_cast<std::uint64_t>(telling.sentAt.count()),
                            telling.configVersion,
                            static_cast<std::uint64_t>(std::max<std::int64_t>(
                              telling.configAge.count(), 0)),
                            &loads,
                            &rates,
                            &uses,
                            &echoes,
                            &members);
  fb::FinishTellingBuffer(builder, root);
  const auto* data = builder.GetBufferPointer();
  return { data, data + builder.GetSize() };
}

TellingDatagram
DecodeTelling(const std::uint8_t* aBytes, std::size_t aSize)
{
  flatbuffers::Verifier verifier(aBytes, aSize);
  if (!fb::VerifyTellingBuffer(verifier)) {
    throw base::Error(base::ErrorCode::BadFrame, "not a telling");
  }
  const auto* wire = fb::GetTelling(aBytes);
  TellingDatagram datagram;
  auto& telling = datagram.telling;
  telling.router = wire->router()->str();
  telling.life = wire->life();
  telling.sequence = wire->sequence();
  telling.sentAt =
    base::TimePoint(static_cast<std::int64_t>(wire->sent_at_ms()));
  telling.configVersion = wire->config_version();
  telling.configAge =
    base::Duration(static_cast<std::int64_t>(wire->config_age_ms()));
  Each(wire->loads(), [&](const fb::Load& aLoad) {
    telling.loads.push_back({ base::UpstreamId(aLoad.upstream()),
                              aLoad.unread_tokens(),
                              aLoad.running() });
  });
  Each(wire->rates(), [&](const fb::Rate& aRate) {
    telling.rates.push_back({ base::WorkspaceId(aRate.workspace()),
                              { aRate.asked(), aRate.begun() } });
  });
  Each(wire->uses(), [&](const fb::Use& aUse) {
    telling.uses.push_back({ aUse.part(), base::UpstreamId(aUse.upstream()) });
  });
  Each(wire->echoes(), [&](const fb::Echo& aEcho) {
    telling.echoes.push_back(
      { base::RouterId(aEcho.router()),
        base::TimePoint(static_cast<std::int64_t>(aEcho.sent_at_ms())) });
  });
  Each(wire->members(), [&](const fb::Member& aMember) {
    datagram.members.push_back({ UnpackIp(aMember.ip()), aMember.port() });
  });
  return datagram;
}

}
