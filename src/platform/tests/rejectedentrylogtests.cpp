#include "platform/internal/rejectedentrylog.h"

#include <criterion/criterion.h>

using namespace hemlockgauge::platform;

//! Guards against a log line for the same invalid entry with each poll.
Test(rejectedentrylog, AnEntryIsLoggedOncePerReason)
{
  RejectedEntryLog log("hosts");
  cr_assert(log.Update({ { "a", "port" } }) == 1);
  cr_assert(log.Update({ { "a", "port" } }) == 0);
  cr_assert(log.Update({ { "a", "port" }, { "b", "port" } }) == 1);
  cr_assert(log.Update({ { "a", "role" }, { "b", "port" } }) == 1);
  cr_assert(log.Update({}) == 0);
  cr_assert(log.Update({ { "a", "port" } }) == 1);
}
