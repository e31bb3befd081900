#include "gateway/streamevent.h"

#include "http/eventfields.h"

namespace hemlockgauge::gateway {

StreamEvent
ParseStreamEvent(std::string_view aEvent)
{
  const auto fields = http::ParseEventFields(aEvent);
  if (!fields) {
    return { EventStreamFault::NotAnEvent, 0 };
  }
  if (fields->hasSeveralIds) {
    return { EventStreamFault::SeveralIds, 0 };
  }
  if (!fields->id || fields->id->empty()) {
    return { EventStreamFault::NoId, 0 };
  }
  const auto number = http::ParseEventNumber(*fields->id);
  if (!number) {
    return { EventStreamFault::IdNotANumber, 0 };
  }
  if (!fields->hasData) {
    return { EventStreamFault::NotAnEvent, 0 };
  }
  return { EventStreamFault::None, *number };
}

}
