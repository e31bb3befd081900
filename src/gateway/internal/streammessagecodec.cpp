#include "gateway/streammessagecodec.h"

#include "base/error.h"
#include "gateway/wiretime.h"
#include "streammessage_generated.h"

#include <algorithm>
#include <limits>

#include <cstring>

namespace hemlockgauge::gateway {

namespace fb = hemlockgauge::wire::fb;

namespace {

constexpr std::size_t kInitialBufferBytes = 256;

std::uint32_t
Millis32(base::Duration aTime)
{
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMax));
}

}

bool
IsStreamMessage(const std::uint8_t* aBytes, std::size_t aSize)
{
  constexpr std::size_t kMinBytes =
    sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength;
  return aSize >= kMinBytes && fb::StreamMessageBufferHasIdentifier(aBytes);
}

std::vector<std::uint8_t>
EncodeStreamMessage(const fleet::StreamMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder(kInitialBufferBytes);
  std::vector<fb::StreamRecord> records;
  records.reserve(aMessage.records.size());
  for (const auto& record : aMessage.records) {
    records.emplace_back(base::Raw(record.stream),
                         base::Raw(record.version),
                         Millis32(record.age),
                         Millis32(record.lifetime));
  }
  const auto vector = builder.CreateVectorOfStructs(records);
  fb::FinishStreamMessageBuffer(
    builder,
    fb::CreateStreamMessage(
      builder, static_cast<std::uint8_t>(aMessage.kind), vector));
  const auto* data = builder.GetBufferPointer();
  return { data, data + builder.GetSize() };
}

fleet::StreamMessage
DecodeStreamMessage(const std::uint8_t* aBytes, std::size_t aSize)
{
  flatbuffers::Verifier verifier(aBytes, aSize);
  if (!fb::VerifyStreamMessageBuffer(verifier)) {
    throw base::Error(base::ErrorCode::BadFrame, "not a valid stream message");
  }
  const auto* wire = fb::GetStreamMessage(aBytes);
  if (wire->kind() >
      static_cast<std::uint8_t>(fleet::StreamMessageKind::Reply)) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "stream message has an unknown kind");
  }
  fleet::StreamMessage message;
  message.kind = static_cast<fleet::StreamMessageKind>(wire->kind());
  if (wire->records() != nullptr) {
    const auto* records = wire->records();
    for (flatbuffers::uoffset_t i = 0; i < records->size(); ++i) {
      //! NOTE the verifier does not check the alignment of the vector's
      //! structs.
      fb::StreamRecord record;
      std::memcpy(
        &record, records->Data() + i * sizeof(record), sizeof(record));
      message.records.push_back({ fleet::StreamId(record.stream()),
                                  fleet::VersionId(record.version()),
                                  base::Duration(record.age_ms()),
                                  base::Duration(record.lifetime_ms()) });
    }
  }
  return message;
}

}
