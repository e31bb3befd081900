#pragma once

#include "base/enumnames.h"

#include <cstdint>
#include <string>

namespace hemlockgauge::standins {

//! What a faulty engine sends in a stream besides its events.
enum class SpoiledEvent : std::uint8_t
{
  NoId,
  EmptyId,
  TextId,
  HugeId,
  PaddedId,
  SkippedId,
  RepeatedId,
  SecondId,
  IdInCapitals,
  NoData,
  BlankLine,
  Comment,
  TextLine,
  CarriageReturns,
  BinaryBytes
};
inline constexpr auto kSpoiledEventNames =
  base::MakeEnumNames<SpoiledEvent>("no-id",
                                    "empty-id",
                                    "text-id",
                                    "huge-id",
                                    "padded-id",
                                    "skipped-id",
                                    "repeated-id",
                                    "second-id",
                                    "id-in-capitals",
                                    "no-data",
                                    "blank-line",
                                    "comment",
                                    "text-line",
                                    "carriage-returns",
                                    "binary-bytes");
inline constexpr std::size_t kSpoiledEventCount =
  static_cast<std::size_t>(SpoiledEvent::BinaryBytes) + 1;

//! Its bytes, where event aNextId is due.
std::string
SpoiledEventText(SpoiledEvent aKind, int aNextId);

}
