#include "base/address.h"
#include "base/boundedsink.h"
#include "base/error.h"
#include "base/hostfield.h"
#include "base/logline.h"
#include "base/logratelimiter.h"
#include "base/peerclosed.h"
#include "base/verdict.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

using namespace hemlockgauge::base;

Test(base, AddressRequiresIpAndPort)
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

Test(base, HostFieldHasANameAndMayHaveAPort)
{
  cr_assert(ParseHostField("a.example") == "a.example");
  cr_assert(ParseHostField("a.example:80") == "a.example");
  cr_assert(ParseHostField("a.example:") == "a.example");
  cr_assert(ParseHostField("[::1]:80") == "[::1]");
  for (const char* bad : { "",
                           ":8443",
                           "a b",
                           "a/b",
                           "a:8x",
                           "a:1:2",
                           "::1",
                           "[]",
                           "[::1",
                           "[::1]x",
                           "[a/b]" }) {
    cr_assert(!ParseHostField(bad), "%s", bad);
  }
}

Test(base, LogLineQuotesValuesAndRemovesNewlines)
{
  const LogLine line =
    LogLine("refuse").Add("why", "a \"b\"\nc").Add("n", 3).Add("x", "y");
  cr_assert(line.Text() == "event=refuse why=\"a 'b' c\" n=3 x=y");
}

//! Guards against a line that bytes of an upstream break or hide.
//! Callers choose ids as long as a head.
Test(base, LogLineCutsLongValues)
{
  const std::string id(16000, 'i');
  const auto line = LogLine("refuse").Add("request", id).Add("why", "x y");
  cr_assert(line.Text().size() < 1000);
  cr_assert(line.Text().starts_with("event=refuse request=iiii"));
  cr_assert(line.Text().ends_with("... why=\"x y\""));
  const std::string blanks(16000, ' ');
  cr_assert(LogLine("refuse").Add("request", blanks).Text().size() < 1000);
}

Test(base, LogLineHoldsNoControlCharacters)
{
  const std::string bytes("a\x1b[2Jb\0c\x7f", 9);
  const LogLine line = LogLine("refuse").Add("why", bytes);
  cr_assert(
    line.Text() == "event=refuse why=\"a [2Jb c \"", "%s", line.Text().c_str());
}

Test(base, VerdictNamesConvertBothWays)
{
  cr_assert(kVerdictNames.NameOf(Verdict::MayHaveRun) == "may-have-run");
  cr_assert(kVerdictNames.ValueOf("not-run") == Verdict::NotRun);
  cr_assert(!kVerdictNames.ValueOf("perhaps").has_value());
}

Test(log, StalledReaderDoesNotBlockWriter)
{
  int pipeEnds[2];
  cr_assert(pipe(pipeEnds) == 0);
  const auto sink = std::make_shared<BoundedSink>(pipeEnds[1], 100000, 1e6);
  spdlog::logger logger("test", sink);
  for (int i = 0; i < 5000; ++i) {
    logger.info("a line of some forty characters, number {}", i);
    sink->Write(); // must return immediately although the pipe is full
  }
  cr_assert(sink->Dropped() > 0);
  std::string read;
  char buffer[65536];
  fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
  for (int i = 0; i < 100; ++i) {
    const auto got = ::read(pipeEnds[0], buffer, sizeof(buffer));
    if (got > 0) {
      read.append(buffer, static_cast<std::size_t>(got));
    }
    sink->Write();
  }
  cr_assert(read.find("number 0\n") != std::string::npos);
  cr_assert(read.find("event=log-lines-dropped count=") != std::string::npos);
  close(pipeEnds[0]);
  close(pipeEnds[1]);
}

//! The rate limit applies even if the reader keeps up.
Test(log, LinesPerSecondAreLimited)
{
  int pipeEnds[2];
  cr_assert(pipe(pipeEnds) == 0);
  const auto sink = std::make_shared<BoundedSink>(pipeEnds[1], 1U << 20, 100.0);
  spdlog::logger logger("test", sink);
  for (int i = 0; i < 500; ++i) {
    logger.info("flood");
  }
  cr_assert(sink->Dropped() > 300);
  close(pipeEnds[0]);
  close(pipeEnds[1]);
}

Test(log, BudgetLimitsRateAndCountsRefusals)
{
  LogRateLimiter budget(10);
  int taken = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    taken += budget.Take(TimePoint(100000 + ms)) ? 1 : 0;
  }
  cr_assert(taken >= 100 && taken <= 111, "%d", taken);
  cr_assert(budget.TakeRefusedCount() == 10000U - static_cast<unsigned>(taken));
  cr_assert(budget.TakeRefusedCount() == 0);
}

//! Unread bytes must not hide that the peer has closed, nor look like it.
Test(peerclosed, ACloseIsSeenWithAndWithoutUnreadBytes)
{
  for (const std::string_view unread : { "", "bytes" }) {
    std::array<int, 2> sockets{};
    cr_assert(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    cr_assert(!HasPeerClosed(sockets[0]));
    const auto sent = write(sockets[1], unread.data(), unread.size());
    cr_assert(sent == static_cast<ssize_t>(unread.size()));
    cr_assert(!HasPeerClosed(sockets[0]));
    close(sockets[1]);
    cr_assert(HasPeerClosed(sockets[0]));
    close(sockets[0]);
  }
}
