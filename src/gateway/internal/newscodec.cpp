#include "gateway/newscodec.h"

#include "base/error.h"
#include "gateway/wiretime.h"
#include "news_generated.h"

#include <algorithm>

namespace hemlockgauge::gateway {

namespace fb = hemlockgauge::wire::fb;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<void>
Put(Builder& aBuilder, const fleet::NewsAsk& aAsk)
{
  return fb::CreateAsk(
           aBuilder, aAsk.life, aAsk.sequence, aAsk.configVersion, aAsk.digest)
    .Union();
}

flatbuffers::Offset<void>
Put(Builder& aBuilder, const fleet::News& aNews)
{
  std::vector<flatbuffers::Offset<fb::Upstream>> upstreams;
  for (const auto& entry : aNews.upstreams) {
    //! NOTE strings that many entries share are encoded once.
    const auto service = aBuilder.CreateSharedString(entry.service);
    const auto zone = aBuilder.CreateSharedString(entry.zone);
    upstreams.push_back(
      fb::CreateUpstream(aBuilder,
                         aBuilder.CreateString(entry.id),
                         service,
                         aBuilder.CreateString(entry.address.ip),
                         entry.address.port,
                         zone,
                         entry.slots,
                         entry.draining,
                         static_cast<std::uint32_t>(
                           std::max<std::int64_t>(entry.coldFor.count(), 0)),
                         entry.usable,
                         entry.startedAt ? *entry.startedAt + 1 : 0));
  }
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::Evacuation>>>
    evacuations;
  if (aNews.evacuations) {
    std::vector<flatbuffers::Offset<fb::Evacuation>> zones;
    for (const auto& one : *aNews.evacuations) {
      zones.push_back(
        fb::CreateEvacuationDirect(aBuilder, one.zone.c_str(), one.revision));
    }
    evacuations = aBuilder.CreateVector(zones);
  }
  const std::vector<std::uint8_t> config(aNews.config.begin(),
                                         aNews.config.end());
  const auto removed = aBuilder.CreateVectorOfStrings(aNews.removed);
  return fb::CreateNews(aBuilder,
                        aNews.life,
                        aNews.sequence,
                        aNews.full,
                        ToWireMillis(aNews.proofAge),
                        aBuilder.CreateVector(config),
                        aBuilder.CreateVector(upstreams),
                        removed,
                        ToWireMillis(aNews.waited),
                        evacuations,
                        static_cast<std::uint8_t>(aNews.state))
    .Union();
}

fb::Body
KindOf(const NewsMessage& aMessage)
{
  return std::holds_alternative<fleet::NewsAsk>(aMessage) ? fb::Body_Ask
                                                          : fb::Body_News;
}

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

fleet::UpstreamEntry
Read(const fb::Upstream& aWire)
{
  fleet::UpstreamEntry entry;
  entry.id = aWire.id()->str();
  entry.service = TextOf(aWire.service());
  entry.address = { TextOf(aWire.ip()), aWire.port() };
  entry.zone = TextOf(aWire.zone());
  entry.slots = aWire.slots();
  entry.draining = aWire.draining();
  entry.coldFor = base::Duration(aWire.cold_ms());
  entry.usable = aWire.usable();
  if (aWire.started_at() > 0) {
    entry.startedAt = aWire.started_at() - 1;
  }
  return entry;
}

fleet::News
Read(const fb::News& aWire)
{
  fleet::News news;
  if (aWire.state() > static_cast<std::uint8_t>(fleet::NewsState::Pending)) {
    throw base::Error(
      base::ErrorCode::BadFrame,
      "News.state is " + std::to_string(aWire.state()) + ", expected at most " +
        std::to_string(static_cast<std::uint8_t>(fleet::NewsState::Pending)));
  }
  news.state = static_cast<fleet::NewsState>(aWire.state());
  news.life = aWire.life();
  news.sequence = aWire.sequence();
  news.full = aWire.full();
  news.proofAge = FromWireMillis(aWire.proof_age_ms());
  news.waited = FromWireMillis(aWire.waited_ms());
  if (aWire.config() != nullptr) {
    news.config.assign(aWire.config()->begin(), aWire.config()->end());
  }
  if (aWire.upstreams() != nullptr) {
    for (const auto* entry : *aWire.upstreams()) {
      news.upstreams.push_back(Read(*entry));
    }
  }
  if (aWire.removed() != nullptr) {
    for (const auto* id : *aWire.removed()) {
      news.removed.push_back(id->str());
    }
  }
  if (aWire.evacuations() != nullptr) {
    auto& all = news.evacuations.emplace();
    for (const auto* one : *aWire.evacuations()) {
      all.push_back({ one->zone()->str(), one->revision() });
    }
  }
  return news;
}

}

std::vector<std::uint8_t>
EncodeNews(const NewsMessage& aMessage)
{
  Builder builder;
  const auto body =
    std::visit([&](const auto& aOne) { return Put(builder, aOne); }, aMessage);
  fb::FinishMessageBuffer(builder,
                          fb::CreateMessage(builder, KindOf(aMessage), body));
  const auto* data = builder.GetBufferPointer();
  return { data, data + builder.GetSize() };
}

NewsMessage
DecodeNews(const std::vector<std::uint8_t>& aBytes)
{
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (!fb::VerifyMessageBuffer(verifier)) {
    throw base::Error(base::ErrorCode::BadFrame, "not a valid Message buffer");
  }
  const auto* message = fb::GetMessage(aBytes.data());
  if (const auto* ask = message->body_as_Ask()) {
    return fleet::NewsAsk{
      ask->life(), ask->sequence(), ask->config_version(), ask->digest()
    };
  }
  if (const auto* news = message->body_as_News()) {
    return Read(*news);
  }
  throw base::Error(base::ErrorCode::BadFrame,
                    "Message.body is missing, expected Ask or News");
}

}
