#include "base/error.h"
#include "eventloop/eventloop.h"
#include "http/clientconnection.h"
#include "http/httptypes.h"
#include "http/listener.h"
#include "http/messagereader.h"
#include "http/serverconnection.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace hemlockgauge;
using namespace hemlockgauge::http;

namespace {

//! Records the messages that a MessageReader reports.
class Recorder : public IMessageSink
{
public:
  void OnRequestHead(RequestHead&& aHead) override
  {
    request = std::move(aHead);
  }
  void OnResponseHead(ResponseHead&& aHead) override
  {
    response = std::move(aHead);
  }
  void OnBody(std::string_view aBytes) override { body += aBytes; }
  void OnMessageEnd() override { ends++; }

  RequestHead request;
  ResponseHead response;
  std::string body;
  int ends = 0;
};

void
FeedAll(MessageReader& aReader, std::string_view aBytes, std::size_t aStep)
{
  while (!aBytes.empty() && !aReader.HasEnded() &&
         aReader.GetFault() == Fault::None) {
    const auto taken = aReader.Feed(aBytes.substr(0, aStep));
    aBytes.remove_prefix(taken);
  }
}

const std::string kPost = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
                          "X-One: 1\r\nContent-Length: 5\r\n\r\nhello";

}

Test(messagereader, ARequestParsesTheSameForAnySplit)
{
  for (std::size_t step = 1; step <= kPost.size(); ++step) {
    Recorder recorder;
    MessageReader reader(MessageReader::Side::Requests, recorder);
    FeedAll(reader, kPost, step);
    cr_assert(reader.HasEnded());
    cr_assert(recorder.request.method == "POST");
    cr_assert(recorder.request.target == "/a/b?c=d");
    cr_assert(*recorder.request.headers.Find("x-one") == "1");
    cr_assert(recorder.body == "hello");
    cr_assert(recorder.ends == 1);
  }
}

//! A field of four bytes must not take many times as much memory.
Test(headerlist, ShortFieldsTakeNoMoreMemoryThanTheirBytes)
{
  constexpr std::size_t kFields = 4000;
  std::string text = "GET / HTTP/1.1\r\n";
  for (std::size_t i = 0; i < kFields; ++i) {
    text += "a:\r\n";
  }
  Recorder recorder;
  MessageReader reader(MessageReader::Side::Requests, recorder);
  FeedAll(reader, text + "\r\n", 1000);
  auto& headers = recorder.request.headers;
  cr_assert(headers.Size() == kFields);
  cr_assert(headers.HeldBytes() <= 2 * text.size());
  headers.RemoveIf(
    [](const HeaderField& aField) { return aField.value == "x"; });
  cr_assert(headers.Size() == kFields && headers.HeldBytes() <= text.size());
  std::string encoded;
  AppendFields(encoded, headers);
  cr_assert(encoded.size() == headers.EncodedBytes());
}

Test(headerlist, KeepsFieldsAsTheyWereAdded)
{
  HeaderList list{ { "Host", "h" }, { "X-One", "" }, { "x-one", "a:b" } };
  cr_assert(list.Size() == 3 && list.CountFields("X-ONE") == 2);
  cr_assert(list.Find("x-one") == "" && !list.Find("x-two"));
  list.RemoveIf([](const HeaderField& aField) { return aField.value.empty(); });
  cr_assert(list.Size() == 2 && list.Find("X-One") == "a:b");
  cr_assert_throw(list.Add("a:b", ""), base::Error);
  cr_assert_throw(list.Add("a", "b\nc:d"), base::Error);
  list.Clear();
  cr_assert(list.IsEmpty() && list.begin() == list.end());
}

//! The limit is one of the bytes that the peer sends, however they arrive and
//! whatever lines they make.
Test(messagereader, AHeadOfTheLimitIsAcceptedAndALongerOneRejected)
{
  constexpr std::size_t kLimit = 1000;
  for (const std::string line :
       { "a:\r\n", "a:\n", "a:   \r\n", "ab: c\r\n" }) {
    std::string text = "GET /x HTTP/1.1\r\n";
    while (text.size() + line.size() + 2 <= kLimit) {
      text += line;
    }
    // The spaces before a value are part of the head, but not of the value.
    text.insert(text.find(':') + 1, kLimit - 2 - text.size(), ' ');
    text += "\r\n";
    cr_assert(text.size() == kLimit);
    for (const std::size_t step : { 1UL, 7UL, 999UL, 1000UL, 5000UL }) {
      for (const std::size_t limit : { kLimit, kLimit - 1 }) {
        Recorder recorder;
        MessageReader reader(MessageReader::Side::Requests, recorder);
        reader.SetMaxHeadBytes(limit);
        FeedAll(reader, text, step);
        const bool fits = limit == kLimit;
        cr_assert(reader.HasEnded() == fits);
        cr_assert(reader.GetFault() ==
                  (fits ? Fault::None : Fault::HeadTooLarge));
      }
    }
  }
}

Test(messagereader, StopsAfterOneRequest)
{
  Recorder recorder;
  MessageReader reader(MessageReader::Side::Requests, recorder);
  const auto both = kPost + kPost;
  cr_assert(reader.Feed(both) == kPost.size());
  reader.Next();
  cr_assert(reader.Feed(std::string_view(both).substr(kPost.size())) ==
            kPost.size());
  cr_assert(recorder.ends == 2);
}

Test(messagereader, AChunkedAnswerEndsWithItsLastChunk)
{
  const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (std::size_t step = 1; step <= answer.size(); ++step) {
    Recorder recorder;
    MessageReader reader(MessageReader::Side::Responses, recorder);
    FeedAll(reader, answer, step);
    cr_assert(reader.HasEnded());
    cr_assert(recorder.response.framing == Framing::Chunked);
    cr_assert(recorder.body == "abcde");
  }
}

Test(messagereader, AnAnswerWithoutALengthEndsWithItsConnection)
{
  Recorder recorder;
  MessageReader reader(MessageReader::Side::Responses, recorder);
  reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  cr_assert(!reader.HasEnded());
  reader.FeedEnd();
  cr_assert(reader.HasEnded());
  cr_assert(recorder.response.framing == Framing::UntilClose);
}

//! Guards against waiting for a body that never comes.
Test(messagereader, AnAnswerWithoutABodyMayStateALength)
{
  for (const std::string status : { "204 No Content", "304 Not Modified" }) {
    for (const std::string field :
         { "Content-Length: 5", "Transfer-Encoding: chunked" }) {
      Recorder recorder;
      MessageReader reader(MessageReader::Side::Responses, recorder);
      for (const auto& line :
           { std::string("HTTP/1.1 "), status, std::string("\r\n"), field }) {
        reader.Feed(line);
      }
      reader.Feed("\r\n\r\n");
      cr_expect(reader.HasEnded(), "%s %s", status.c_str(), field.c_str());
      cr_expect(recorder.response.framing == Framing::None);
    }
  }
}

Test(messagereader, ATruncatedAnswerIsASyntaxFault)
{
  Recorder recorder;
  MessageReader reader(MessageReader::Side::Responses, recorder);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  reader.FeedEnd();
  cr_assert(!reader.HasEnded());
  cr_assert(reader.GetFault() == Fault::Syntax);
}

Test(messagereader, SmuggledFramingIsRefused)
{
  const std::vector<std::string> bad{
    std::string("POST / HTTP/1.1\r\nContent-Length: 3\r\n") +
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nabc",
    "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
    "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
    "GET / HTTP/1.1\r\nX Y: 1\r\n\r\n",
    std::string("GET / HTTP/1.1\r\nX: a\x01") + "b\r\n\r\n",
  };
  for (const auto& text : bad) {
    Recorder recorder;
    MessageReader reader(MessageReader::Side::Requests, recorder);
    FeedAll(reader, text, text.size());
    cr_assert(!reader.HasEnded(), "%s", text.c_str());
    cr_assert(reader.GetFault() == Fault::Syntax, "%s", text.c_str());
  }
}

Test(messagereader, AHeadOverTheLimitIsAFault)
{
  Recorder recorder;
  MessageReader reader(MessageReader::Side::Requests, recorder);
  reader.SetMaxHeadBytes(200);
  FeedAll(reader, "GET / HTTP/1.1\r\nX: " + std::string(500, 'a'), 64);
  cr_assert(reader.GetFault() == Fault::HeadTooLarge);
}

Test(messagereader, RandomBytesDoNotCrash)
{
  const bool held = rc::check([](const std::string& aBytes, bool aRequests) {
    Recorder recorder;
    MessageReader reader(aRequests ? MessageReader::Side::Requests
                                   : MessageReader::Side::Responses,
                         recorder);
    FeedAll(reader, aBytes, 7);
    reader.FeedEnd();
  });
  cr_assert(held);
}

Test(httptypes, FindsWordsInLists)
{
  cr_assert(ListContains("close, Upgrade", "upgrade"));
  cr_assert(ListContains(" a ,b", "A"));
  cr_assert(!ListContains("closed", "close"));
  cr_assert(!ListContains("", "close"));
}

Test(httptypes, AnEmptyChunkIsNotWritten)
{
  std::string out;
  AppendChunk(out, "");
  cr_assert(out.empty());
  AppendChunk(out, std::string(26, 'x'));
  cr_assert(out.starts_with("1a\r\n"));
}

// ---- connections over loopback

namespace {

class EchoServer : public IServerEvents
{
public:
  EchoServer(eventloop::EventLoop& aLoop, std::uint16_t aPort)
    : m_loop(aLoop)
    , listener(aLoop,
               { "127.0.0.1", aPort },
               [this](const ACE_SOCK_Stream& aStream) {
                 connections.push_back(std::make_unique<ServerConnection>(
                   m_loop, aStream, limits, *this));
                 if (readsOnAccept) {
                   connections.back()->StartReading();
                 } else {
                   connections.back()->Start();
                 }
               })
  {
  }

  void OnRequest(ServerConnection& aConnection,
                 RequestHead&& aHead,
                 std::string&& aBody) override
  {
    targets.push_back(aHead.target);
    if (aHead.target == "/wait") {
      return;
    }
    if (closesAfterAnswer) {
      aConnection.CloseAfterAnswer();
    }
    std::string head;
    AppendStatusLine(head, 200, "OK");
    aConnection.BeginAnswer(head, Framing::Chunked);
    aConnection.Write(aBody);
    if (aHead.target == "/break") {
      aConnection.Abort();
      return;
    }
    aConnection.EndAnswer();
  }
  void OnBadRequest(ServerConnection& aConnection, Fault aFault) override
  {
    faults.push_back(aFault);
    std::string head;
    AppendStatusLine(head, 400, "Bad Request");
    aConnection.BeginAnswer(head, Framing::Length, 0);
    aConnection.EndAnswer();
  }
  void OnPeerGone(ServerConnection&) override { gone++; }
  void OnDrained(ServerConnection&) override {}
  void OnClosed(ServerConnection&) override { closed++; }

  bool readsOnAccept = false;
  bool closesAfterAnswer = false;
  base::CallerLimits limits;
  std::vector<std::unique_ptr<ServerConnection>> connections;
  std::vector<std::string> targets;
  std::vector<Fault> faults;
  int gone = 0;
  int closed = 0;

private:
  eventloop::EventLoop& m_loop;

public:
  Listener listener;
};

class Caller : public IClientEvents
{
public:
  HeadAction OnAnswerHead(ClientConnection&, ResponseHead&& aHead) override
  {
    statuses.push_back(aHead.status);
    return static_cast<int>(statuses.size()) <= answersToSkip
             ? HeadAction::Skip
             : HeadAction::Accept;
  }
  void OnAnswerBody(ClientConnection& aConnection,
                    std::string_view aBytes) override
  {
    if (pauseInBody) {
      aConnection.SetReading(false);
    }
    body += aBytes;
  }
  void OnAnswerEnd(ClientConnection&, bool aReusable) override
  {
    ends++;
    reusable = aReusable;
  }
  void OnFailed(ClientConnection&, ClientFailure aFailure) override
  {
    failures.push_back(aFailure);
  }
  void OnIdleClosed(ClientConnection&) override { idleClosed++; }

  int answersToSkip = 0;
  bool pauseInBody = false;
  std::vector<int> statuses;
  std::vector<ClientFailure> failures;
  std::string body;
  int ends = 0;
  int idleClosed = 0;
  bool reusable = false;
};

template<typename Condition>
void
RunUntil(eventloop::EventLoop& aLoop, Condition aCondition)
{
  // Fails if the condition is not met within the time limit.
  const auto limit = aLoop.Now() + std::chrono::seconds(20);
  while (!aCondition() && aLoop.Now() < limit) {
    aLoop.RunOnce();
  }
  cr_assert(aCondition());
}

}

Test(connections, TwoRequestsOnOneConnection)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21001);
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 21001 }, caller);
  client.Send(kPost);
  RunUntil(loop, [&] { return caller.ends == 1; });
  cr_assert(caller.reusable);
  cr_assert(caller.body == "hello");
  client.Send(kPost);
  RunUntil(loop, [&] { return caller.ends == 2; });
  cr_assert(server.connections.size() == 1);
}

Test(connections, APipelinedRequestIsReadAfterTheAnswer)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21002);
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 21002 }, caller);
  client.Send(kPost + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(loop, [&] { return server.targets.size() == 2; });
  cr_assert(server.targets[1] == "/second");
}

//! A reset must be noticed also while nothing more is read from the caller;
//! otherwise the loop gets its event again and again.
Test(connections, AResetIsNoticedBehindAFullReadAhead)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 20980);
  ACE_SOCK_Connector connector;
  ACE_SOCK_Stream client;
  cr_assert(connector.connect(client, ACE_INET_Addr(20980, "127.0.0.1")) == 0);
  const std::string text =
    "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(100000, 'x');
  client.send_n(text.data(), text.size());
  RunUntil(loop, [&] { return server.targets.size() == 1; });
  loop.SchedulePeriodic(std::chrono::milliseconds(1), [] {});
  for (int i = 0; i < 20; ++i) {
    loop.RunOnce();
  }
  cr_assert(server.gone == 0);
  linger resets{ 1, 0 };
  client.set_option(SOL_SOCKET, SO_LINGER, &resets, sizeof(resets));
  client.close();
  RunUntil(loop, [&] { return server.gone == 1; });
}

//! A caller that never reads the rest of its answer must not keep its
//! connection for good.
Test(connections, AnAnswerThatIsNotReadIsGivenUp)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 20970);
  server.limits.maxBodyBytes = std::size_t{ 32 } << 20U;
  ACE_SOCK_Connector connector;
  ACE_SOCK_Stream client;
  cr_assert(connector.connect(client, ACE_INET_Addr(20970, "127.0.0.1")) == 0);
  const std::string text = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";
  client.send_n(text.data(), text.size());
  RunUntil(loop, [&] { return server.targets.size() == 1; });
  auto& connection = *server.connections.front();
  connection.BeginAnswer("HTTP/1.1 200 OK\r\n", Framing::Chunked);
  connection.Write(std::string(server.limits.maxBodyBytes, 'b'));
  connection.EndAnswer();
  loop.RunOnce();
  cr_assert(connection.UnsentBytes() > 0);
  connection.EnforceTimeouts(loop.Now() + server.limits.idleTimeout / 2);
  cr_assert(server.closed == 0);
  connection.EnforceTimeouts(loop.Now() + 2 * server.limits.idleTimeout);
  cr_assert(server.closed == 1);
  client.close();
}

//! All requests that a connection has sent at once must not be answered before
//! anything else.
Test(connections, PipelinedRequestsTakeTurnsWithOtherConnections)
{
  constexpr std::size_t kRequests = 100;
  eventloop::EventLoop loop;
  EchoServer server(loop, 20960);
  ACE_SOCK_Connector connector;
  ACE_SOCK_Stream client;
  cr_assert(connector.connect(client, ACE_INET_Addr(20960, "127.0.0.1")) == 0);
  std::string text;
  for (std::size_t i = 0; i < kRequests; ++i) {
    text += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  client.send_n(text.data(), text.size());
  std::size_t answered = 0;
  RunUntil(loop, [&] {
    cr_assert(server.targets.size() <= answered + 1);
    answered = server.targets.size();
    return answered == kRequests;
  });
  client.close();
}

//! A connection closed without an answer is retried at once by its caller; one
//! that waits in the listen backlog is not.
Test(connections, ConnectionsWaitWhileTheListenerIsPaused)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 20901);
  server.listener.Pause(true);
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 20901 }, caller);
  client.Send(kPost);
  const auto pausedUntil = loop.Now() + std::chrono::milliseconds(100);
  RunUntil(loop, [&] { return loop.Now() > pausedUntil; });
  cr_assert(server.connections.empty());
  cr_assert(caller.failures.empty());
  server.listener.Pause(false);
  RunUntil(loop, [&] { return caller.ends == 1; });
}

//! StartReading reads a request right after accepting its connection. A request
//! that arrives later, or after the first answer, must be read as well.
Test(connections, StartReadingAnswersEarlyAndLateRequests)
{
  for (const bool closes : { false, true }) {
    for (const bool hasArrived : { false, true }) {
      eventloop::EventLoop loop;
      EchoServer server(loop, 20902);
      server.readsOnAccept = true;
      server.closesAfterAnswer = closes;
      server.listener.Pause(true);
      Caller caller;
      ClientConnection client(loop, { "127.0.0.1", 20902 }, caller);
      if (hasArrived) {
        client.Send(kPost);
      }
      const auto sent = loop.Now() + std::chrono::milliseconds(50);
      RunUntil(loop, [&] { return loop.Now() > sent; });
      server.listener.Pause(false);
      RunUntil(loop, [&] { return !server.connections.empty(); });
      if (!hasArrived) {
        client.Send(kPost);
      }
      RunUntil(loop, [&] { return caller.ends == 1; });
      cr_assert(caller.body == "hello");
      cr_assert(caller.reusable == !closes);
      if (!closes) {
        client.Send(kPost);
        RunUntil(loop, [&] { return caller.ends == 2; });
      }
    }
  }
}

//! A slow consumer may pause reading just as the response ends; the connection
//! must still carry the next request.
Test(connections, AReadPauseEndsWithTheAnswer)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21009);
  Caller caller;
  caller.pauseInBody = true;
  ClientConnection client(loop, { "127.0.0.1", 21009 }, caller);
  client.Send(kPost);
  RunUntil(loop, [&] { return caller.ends == 1; });
  cr_assert(caller.reusable);
  client.Send(kPost);
  RunUntil(loop, [&] { return caller.ends == 2; });
}

Test(connections, AnAbortedAnswerIsReportedAsBroken)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21003);
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 21003 }, caller);
  client.Send("POST /break HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
  RunUntil(loop, [&] { return !caller.failures.empty(); });
  cr_assert(caller.ends == 0);
  cr_assert(caller.failures[0] == ClientFailure::BrokenInAnswer);
}

Test(connections, NoListenerMeansThatNothingWasSent)
{
  eventloop::EventLoop loop;
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 21004 }, caller);
  client.Send(kPost);
  RunUntil(loop, [&] { return !caller.failures.empty(); });
  cr_assert(caller.failures[0] == ClientFailure::NotConnected);
  cr_assert(!client.HasSentBytes());
}

Test(connections, ADisconnectIsNoticedWhileAnswering)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21005);
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 21005 }, caller);
  client.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(loop, [&] { return server.targets.size() == 1; });
  client.Close();
  RunUntil(loop, [&] { return server.gone == 1; });
  cr_assert(server.closed == 1);
}

Test(connections, AnIncompleteHeadIsRefusedAfterTheTimeout)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 20950);
  server.limits.headTimeout = base::Duration(50);
  loop.SchedulePeriodic(base::Duration(10), [&] {
    for (const auto& connection : server.connections) {
      connection->EnforceTimeouts(loop.Now());
    }
  });
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 20950 }, caller);
  client.Send("GET /slow HTTP/1.1\r\nHost:");
  RunUntil(loop, [&] { return caller.statuses.size() == 1; });
  cr_assert(caller.statuses[0] == 400);
  cr_assert(server.faults.at(0) == Fault::Timeout);
}

//! A connection that has just been opened looks idle, but its request is on the
//! way.
Test(connections, OnlyUsedOrSilentConnectionsMakeRoomForOthers)
{
  constexpr base::Duration kPatience(600000);
  eventloop::EventLoop loop;
  EchoServer server(loop, 20990);
  Caller caller;
  ClientConnection used(loop, { "127.0.0.1", 20990 }, caller);
  used.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(loop, [&] { return caller.statuses.size() == 1; });
  RunUntil(loop, [&] { return server.connections[0]->IsIdle(); });
  ClientConnection unfinished(loop, { "127.0.0.1", 20990 }, caller);
  unfinished.Send("GET /x HTTP/1.1\r\nHost:");
  RunUntil(loop, [&] { return server.connections.size() == 2; });
  auto& fresh = *server.connections[1];
  cr_assert(!fresh.CloseIfDispensable(kPatience));
  RunUntil(loop, [&] { return !fresh.IsIdle(); });
  cr_assert(!fresh.CloseIfDispensable(kPatience));
  cr_assert(server.connections[0]->CloseIfDispensable(kPatience));
  cr_assert(fresh.CloseIfDispensable({}));
  cr_assert(server.faults.at(0) == Fault::Timeout);
  cr_assert(server.closed == 2);
}

Test(connections, ABodyOverTheLimitIsRefusedBeforeItIsRead)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21007);
  server.limits.maxBodyBytes = 100;
  Caller caller;
  ClientConnection client(loop, { "127.0.0.1", 21007 }, caller);
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
  RunUntil(loop, [&] { return caller.statuses.size() == 1; });
  cr_assert(server.faults.at(0) == Fault::BodyTooLarge);
  RunUntil(loop, [&] { return caller.ends == 1; });
  cr_assert(!caller.reusable);
}

Test(connections, TheAnswerAfterASkippedOneIsTaken)
{
  eventloop::EventLoop loop;
  EchoServer server(loop, 21008);
  Caller caller;
  caller.answersToSkip = 1;
  ClientConnection client(loop, { "127.0.0.1", 21008 }, caller);
  client.Send(kPost + kPost);
  RunUntil(loop, [&] { return caller.ends == 1; });
  cr_assert(caller.statuses.size() == 2);
  cr_assert(caller.body == "hello");
}
