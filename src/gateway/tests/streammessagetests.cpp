#include "base/error.h"
#include "gateway/reportcodec.h"
#include "gateway/streammessagecodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

//! Tests of the datagrams by which routers tell each other which version began
//! a stream.
using namespace hemlockgauge;
using namespace hemlockgauge::gateway;

namespace {

fleet::StreamMessage
FullMessage()
{
  return { fleet::StreamMessageKind::Reply,
           { { fleet::StreamId{ 1ULL << 63 },
               fleet::VersionId(1ULL << 40),
               base::Duration(7),
               base::Duration(15000) },
             { fleet::StreamId{ 5 } } } };
}

}

Test(streammessages, MessageRoundTrip)
{
  const auto bytes = EncodeStreamMessage(FullMessage());
  cr_assert(IsStreamMessage(bytes.data(), bytes.size()));
  const auto read = DecodeStreamMessage(bytes.data(), bytes.size());
  cr_assert(read.kind == FullMessage().kind);
  cr_assert(read.records == FullMessage().records);
}

Test(streammessages, ReportsAreNoStreamMessages)
{
  const auto report = EncodeReport({});
  cr_assert(!IsStreamMessage(report.data(), report.size()));
  cr_assert(!IsStreamMessage(report.data(), 3));
}

Test(streammessages, UnknownKindIsRejected)
{
  auto message = FullMessage();
  message.kind = static_cast<fleet::StreamMessageKind>(9);
  const auto bytes = EncodeStreamMessage(message);
  cr_assert_throw(DecodeStreamMessage(bytes.data(), bytes.size()), base::Error);
}

Test(streammessages, DamagedMessageIsDecodedOrRejected)
{
  const auto bytes = EncodeStreamMessage(FullMessage());
  const bool held = rc::check([&] {
    auto damaged = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
    damaged[at] = *rc::gen::arbitrary<std::uint8_t>();
    damaged.resize(*rc::gen::inRange<std::size_t>(1, damaged.size() + 1));
    try {
      DecodeStreamMessage(damaged.data(), damaged.size());
    } catch (const base::Error&) {
      // a rejected message is a valid outcome
    }
  });
  cr_assert(held);
}
