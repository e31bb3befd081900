#include "base/address.h"
#include "base/error.h"
#include "base/logline.h"
#include "base/verdict.h"

#include <criterion/criterion.h>

using namespace hemlockgauge::base;

Test(base, AddressNeedsIpNumberAndPort)
{
  cr_assert(ParseAddress("127.0.0.1:80").port == 80);
  for (const char* bad : { "",
                           "localhost:80",
                           "127.0.0.1",
                           "127.0.0.1:0",
                           "127.0.0.1:70000",
                           "127.0.0.1:8x" }) {
    cr_assert_throw(ParseAddress(bad), Error, "%s", bad);
  }
}

Test(base, LogLineQuotesAndKeepsOneLine)
{
  const LogLine line =
    LogLine("refuse").Add("why", "a \"b\"\nc").Add("n", 3).Add("x", "y");
  cr_assert(line.Text() == "event=refuse why=\"a 'b' c\" n=3 x=y");
}

Test(base, VerdictNamesGoBothWays)
{
  cr_assert(kVerdictNames.NameOf(Verdict::MayHaveRun) == "may-have-run");
  cr_assert(kVerdictNames.ValueOf("not-run") == Verdict::NotRun);
  cr_assert(!kVerdictNames.ValueOf("perhaps").has_value());
}
