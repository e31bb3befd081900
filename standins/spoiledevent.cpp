#include "standins/spoiledevent.h"

#include <fmt/format.h>

namespace hemlockgauge::standins {

std::string
SpoiledEventText(SpoiledEvent aKind, int aNextId)
{
  const auto withId = [](const std::string& aId) {
    return fmt::format("id: {}\ndata: spoiled\n\n", aId);
  };
  switch (aKind) {
    case SpoiledEvent::NoId:
      return "data: spoiled\n\n";
    case SpoiledEvent::EmptyId:
      return withId("");
    case SpoiledEvent::TextId:
      return withId("spoiled");
    case SpoiledEvent::HugeId:
      return withId("99999999999999999999");
    case SpoiledEvent::PaddedId:
      return withId(fmt::format("0{}", aNextId));
    case SpoiledEvent::SkippedId:
      return withId(std::to_string(aNextId + 1));
    case SpoiledEvent::RepeatedId:
      return withId(std::to_string(aNextId - 1));
    case SpoiledEvent::SecondId:
      return withId(fmt::format("{}\nid: spoiled", aNextId));
    case SpoiledEvent::IdInCapitals:
      return fmt::format("ID: {}\ndata: spoiled\n\n", aNextId);
    case SpoiledEvent::NoData:
      return fmt::format("id: {}\n\n", aNextId);
    case SpoiledEvent::BlankLine:
      return "\n";
    case SpoiledEvent::Comment:
      return ": spoiled\n\n";
    case SpoiledEvent::TextLine:
      return "spoiled\n\n";
    case SpoiledEvent::CarriageReturns:
      return fmt::format("id: {}\rdata: spoiled\r\r\n\n", aNextId);
    case SpoiledEvent::BinaryBytes:
      return std::string("\0\xff\x01\n\n", 5);
  }
  return {};
}

}
