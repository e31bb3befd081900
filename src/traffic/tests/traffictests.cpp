#include "document/documentparser.h"
#include "traffic/internal/admissionfilters.h"
#include "traffic/internal/answerreader.h"
#include "traffic/internal/keydigest.h"
#include "traffic/internal/urlescape.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace hemlockgauge;
using namespace hemlockgauge::traffic;

namespace {

std::shared_ptr<const document::ServiceDocument>
Service(const std::string& aName, const std::string& aPath)
{
  return std::make_shared<const document::ServiceDocument>(
    document::ParseDocument(
      aName,
      "[service]\nname = " + aName + "\npath_prefix = " + aPath +
        "\ndeadline_ms = 1000\nrepeatable_path = " + aPath +
        "/ask\n[upstream]\npool = p\nkind = plain\nconcurrency = 1\n"
        "[workspace:w]\nkey_sha256 = " +
        Sha256Hex("key-" + aName) + "\n"));
}

RoutingTable
Table()
{
  return RoutingTable(
    { { "a", Service("a", "/a") }, { "ab", Service("ab", "/a/b") } });
}

}

Test(filters, LongestMatchingPathPrefixWins)
{
  const auto table = Table();
  cr_assert(table.MatchPath("/a/x")->name == "a");
  cr_assert(table.MatchPath("/a/b/x")->name == "ab");
  cr_assert(table.MatchPath("/a/bx")->name == "a");
  cr_assert(!table.MatchPath("/ab"));
}

Test(filters, KeyIsValidForItsServiceOnly)
{
  const auto table = Table();
  CallerRequest request;
  request.path = "/a/ask";
  request.bearerKey = "key-a";
  cr_assert(!MatchRouteFilter{}.Apply(request, table));
  cr_assert(request.repeatable);
  cr_assert(!AuthenticateFilter{}.Apply(request, table));
  cr_assert(request.workspace->name == "w" && request.bearerKey.empty());
  request.path = "/a/b";
  request.bearerKey = "key-a";
  cr_assert(!MatchRouteFilter{}.Apply(request, table));
  cr_assert(!request.repeatable);
  cr_assert(AuthenticateFilter{}.Apply(request, table)->status == 401);
}

Test(filters, EarlierDeadlineApplies)
{
  const auto table = Table();
  CallerRequest request;
  request.path = "/a";
  MatchRouteFilter{}.Apply(request, table);
  const base::TimePoint now(5000);
  const auto apply = [&](const std::string& aCallers) {
    const DeadlineFilter filter{ now, aCallers };
    const auto refusal = filter.Apply(request, table);
    return refusal ? refusal->status : 0;
  };
  cr_assert(apply("") == 0);
  cr_assert(request.deadline == base::TimePoint(6000));
  cr_assert(apply("200") == 0);
  cr_assert(request.deadline == base::TimePoint(5200));
  cr_assert(apply("9000") == 0);
  cr_assert(request.deadline == base::TimePoint(6000));
  for (const char* bad : { "soon", "-1", "0", "1x" }) {
    cr_assert(apply(bad) == 400);
  }
}

Test(reader, ChunkBoundariesDoNotChangeTheOutput)
{
  std::string stream;
  for (int i = 0; i < 5; ++i) {
    stream += "id: r/" + std::to_string(i) + "\ndata: t\n\n";
  }
  stream += "id: r/5\nevent: done\ndata: \n\n";
  const bool held = rc::check("random cuts", [&] {
    EventStreamAnswer reader("r");
    std::string out;
    std::size_t at = 0;
    while (at < stream.size()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 20);
      RC_ASSERT(reader.Consume(std::string_view(stream).substr(at, size), out));
      at += size;
    }
    RC_ASSERT(out == stream);
    RC_ASSERT(reader.IsComplete(true));
  });
  cr_assert(held);
}

Test(reader, RandomBytesAreNeverForwarded)
{
  const bool held = rc::check("random bytes", [](const std::string& aBytes) {
    EventStreamAnswer reader("request-of-mine");
    std::string out;
    reader.Consume(aBytes + "\n\n", out);
    RC_ASSERT(out.empty());
    RC_ASSERT(!reader.IsComplete(true));
  });
  cr_assert(held);
}

//! Upstreams choose how small the pieces are.
Test(reader, AnEventInPiecesOfOneByteIsSearchedOnce)
{
  const auto event = "id: r/0\ndata: " + std::string(60000, 'd') + "\n\n";
  EventStreamAnswer reader("r");
  std::string out;
  for (const char& byte : event) {
    cr_assert(reader.Consume({ &byte, 1 }, out));
  }
  cr_assert(out == event);
  cr_assert(reader.SearchedBytes() <= 4 * event.size());
}

Test(reader, OffsetGapOrForeignIdIsRejected)
{
  std::string out;
  EventStreamAnswer gap("r");
  cr_assert(!gap.Consume("id: r/1\ndata: x\n\n", out));
  EventStreamAnswer other("r");
  cr_assert(!other.Consume("id: q/0\ndata: x\n\n", out));
  EventStreamAnswer copy("r");
  cr_assert(copy.Consume("id: r/0\ndata: x\n\nid: r/0\ndata: x\n\n", out));
  cr_assert(out == "id: r/0\ndata: x\n\n");
}

//! Callers may read such an event differently from the router, or not at all.
Test(reader, EventThatReadersMayUnderstandDifferentlyIsRejected)
{
  const std::string event = "id: r/0\ndata: x\n";
  const std::vector<std::string> ambiguous = { ": comment\n" + event,
                                               event + "id: r/7\n",
                                               event + "ID: r/7\n",
                                               event + "id\n",
                                               "id: r/0\ndata: x\rid: r/7\n",
                                               event + "no field\n",
                                               "id: r/0\n",
                                               "id: r/0\ndata\n",
                                               event +
                                                 "event: done\nevent: x\n",
                                               event + "Event: done\n",
                                               "id: r/00\ndata: x\n",
                                               "\xEF\xBB\xBF" + event,
                                               event + ":\rid: r/7\n" };
  for (const auto& lines : ambiguous) {
    EventStreamAnswer reader("r");
    std::string out;
    const bool accepted = reader.Consume(lines + "\n", out);
    cr_expect(!accepted && out.empty(), "%s", lines.c_str());
  }
}

Test(reader, EventsBeforeARejectedOneAreForwarded)
{
  EventStreamAnswer reader("r");
  std::string out;
  cr_assert(!reader.Consume("id: r/0\ndata: x\n\n: c\nid: r/1\n\n", out));
  cr_assert(out == "id: r/0\ndata: x\n\n");
  cr_assert(reader.Offset() == 1);
}

Test(reader, CommentsAreSkipped)
{
  EventStreamAnswer reader("r");
  std::string out;
  cr_assert(reader.Consume(": keep-alive\n\n:\n: two\r\n\r\n", out));
  cr_assert(reader.Consume("id: r/0\r\ndata: x\r\n\r\n", out));
  cr_assert(out == "id: r/0\r\ndata: x\r\n\r\n");
}

Test(reader, BytesAfterTheDoneEventAreNotBuffered)
{
  EventStreamAnswer reader("r");
  std::string out;
  const std::string done = "id: r/0\nevent: done\ndata: \n\n";
  cr_assert(reader.Consume(done + "id: r/1\ndata: x\n\n", out));
  const std::string block(1 << 20, 'x');
  cr_assert(reader.Consume(block, out) && reader.Consume(block, out));
  cr_assert(out == done && reader.IsComplete(true));
}

Test(reader, EventThatIsTooLongIsRejectedAlsoIfComplete)
{
  EventStreamAnswer reader("r");
  std::string out;
  const std::string data(1 << 20, 'x');
  cr_assert(!reader.Consume("id: r/0\ndata: " + data + "\n\n", out));
  cr_assert(out.empty());
}

Test(url, UnsafeBytesAreEscaped)
{
  cr_assert(EscapeUrl("/a b/\r\n", "/") == "/a%20b/%0D%0A");
}
