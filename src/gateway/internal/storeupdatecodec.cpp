#include "gateway/storeupdatecodec.h"

#include "base/error.h"
#include "gateway/wiretime.h"
#include "news_generated.h"

#include <algorithm>

namespace hemlockgauge::gateway {

namespace fb = hemlockgauge::wire::fb;

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<void>
EncodeBody(Builder& aBuilder, const fleet::StoreUpdateRequest& aRequest)
{
  return fb::CreateAsk(aBuilder,
                       aRequest.incarnation,
                       aRequest.sequence,
                       aRequest.configVersion,
                       aRequest.digest)
    .Union();
}

flatbuffers::Offset<void>
EncodeBody(Builder& aBuilder, const fleet::StoreUpdate& aUpdate)
{
  std::vector<flatbuffers::Offset<fb::Upstream>> upstreams;
  for (const auto& entry : aUpdate.upstreams) {
    //! NOTE strings that many entries share are encoded once.
    const auto service = aBuilder.CreateSharedString(entry.service);
    const auto zone = aBuilder.CreateSharedString(entry.zone);
    const auto version = aBuilder.CreateSharedString(entry.softwareVersion);
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
                         entry.startedAt ? *entry.startedAt + 1 : 0,
                         version));
  }
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::Evacuation>>>
    evacuations;
  if (aUpdate.evacuations) {
    std::vector<flatbuffers::Offset<fb::Evacuation>> zones;
    for (const auto& one : *aUpdate.evacuations) {
      zones.push_back(
        fb::CreateEvacuationDirect(aBuilder, one.zone.c_str(), one.revision));
    }
    evacuations = aBuilder.CreateVector(zones);
  }
  const std::vector<std::uint8_t> config(aUpdate.config.begin(),
                                         aUpdate.config.end());
  const auto removed = aBuilder.CreateVectorOfStrings(aUpdate.removed);
  return fb::CreateNews(aBuilder,
                        aUpdate.incarnation,
                        aUpdate.sequence,
                        aUpdate.isFullList,
                        ToWireMillis(aUpdate.proofAge),
                        aBuilder.CreateVector(config),
                        aBuilder.CreateVector(upstreams),
                        removed,
                        ToWireMillis(aUpdate.waited),
                        evacuations,
                        static_cast<std::uint8_t>(aUpdate.state))
    .Union();
}

fb::Body
BodyTypeOf(const StoreUpdateMessage& aMessage)
{
  return std::holds_alternative<fleet::StoreUpdateRequest>(aMessage)
           ? fb::Body_Ask
           : fb::Body_News;
}

std::string
StringOrEmpty(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

fleet::UpstreamEntry
DecodeUpstream(const fb::Upstream& aWire)
{
  fleet::UpstreamEntry entry;
  entry.id = aWire.id()->str();
  entry.service = StringOrEmpty(aWire.service());
  entry.address = { StringOrEmpty(aWire.ip()), aWire.port() };
  entry.zone = StringOrEmpty(aWire.zone());
  entry.softwareVersion = StringOrEmpty(aWire.software_version());
  entry.slots = aWire.slots();
  entry.draining = aWire.draining();
  entry.coldFor = base::Duration(aWire.cold_ms());
  entry.usable = aWire.usable();
  if (aWire.started_at() > 0) {
    entry.startedAt = aWire.started_at() - 1;
  }
  return entry;
}

fleet::StoreUpdate
DecodeUpdate(const fb::News& aWire)
{
  fleet::StoreUpdate update;
  if (aWire.state() >
      static_cast<std::uint8_t>(fleet::StoreUpdateState::Pending)) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "store update has state " +
                        std::to_string(aWire.state()) + ", expected at most " +
                        std::to_string(static_cast<std::uint8_t>(
                          fleet::StoreUpdateState::Pending)));
  }
  update.state = static_cast<fleet::StoreUpdateState>(aWire.state());
  update.incarnation = aWire.life();
  update.sequence = aWire.sequence();
  update.isFullList = aWire.full();
  update.proofAge = FromWireMillis(aWire.proof_age_ms());
  update.waited = FromWireMillis(aWire.waited_ms());
  if (aWire.config() != nullptr) {
    update.config.assign(aWire.config()->begin(), aWire.config()->end());
  }
  if (aWire.upstreams() != nullptr) {
    for (const auto* entry : *aWire.upstreams()) {
      update.upstreams.push_back(DecodeUpstream(*entry));
    }
  }
  if (aWire.removed() != nullptr) {
    for (const auto* id : *aWire.removed()) {
      update.removed.push_back(id->str());
    }
  }
  if (aWire.evacuations() != nullptr) {
    auto& evacuations = update.evacuations.emplace();
    for (const auto* one : *aWire.evacuations()) {
      evacuations.push_back({ one->zone()->str(), one->revision() });
    }
  }
  return update;
}

}

std::vector<std::uint8_t>
EncodeStoreUpdate(const StoreUpdateMessage& aMessage)
{
  Builder builder;
  const auto body = std::visit(
    [&](const auto& aOne) { return EncodeBody(builder, aOne); }, aMessage);
  fb::FinishMessageBuffer(
    builder, fb::CreateMessage(builder, BodyTypeOf(aMessage), body));
  const auto* data = builder.GetBufferPointer();
  return { data, data + builder.GetSize() };
}

StoreUpdateMessage
DecodeStoreUpdate(const std::vector<std::uint8_t>& aBytes)
{
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (!fb::VerifyMessageBuffer(verifier)) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "not a valid store update message");
  }
  const auto* message = fb::GetMessage(aBytes.data());
  if (const auto* request = message->body_as_Ask()) {
    return fleet::StoreUpdateRequest{ request->life(),
                                      request->sequence(),
                                      request->config_version(),
                                      request->digest() };
  }
  if (const auto* update = message->body_as_News()) {
    return DecodeUpdate(*update);
  }
  throw base::Error(base::ErrorCode::BadFrame,
                    "store update message has no body");
}

}
