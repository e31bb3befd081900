#include "net.h"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <initializer_list>
#include <sstream>
#include <string_view>
#include <thread>

//! A stand-in of a worker. It registers itself at the store, answers requests
//! with a token count by a stream of events and others by one body, and records
//! what it ran. Its process is the worker: killing it is the crash.
namespace {

using standin::Channel;
using standin::Flags;
using standin::Head;
using standin::NowMs;

constexpr std::int64_t kHeartbeatMs = 1200;
constexpr std::int64_t kEntryTtlMs = 3 * kHeartbeatMs;
constexpr int kTokensPerEvent = 3;

std::string
Join(std::initializer_list<std::string_view> aTexts)
{
  std::string joined;
  for (const auto text : aTexts) {
    joined += text;
  }
  return joined;
}

class Worker
{
public:
  explicit Worker(const Flags& aFlags)
    : m_id(aFlags.Text("id"))
    , m_version(aFlags.Text("version", "v1"))
    , m_deadlyPart(aFlags.Text("deadly"))
    , m_record(aFlags.Text("record"))
    , m_eventMs(aFlags.Number("event-ms", 50))
    , m_workMs(aFlags.Number("work-ms", 30))
    , m_pieces(aFlags.Number("pieces", 1))
    , m_slots(aFlags.Number("slots", 64))
    , m_endsByClose(aFlags.Has("unframed"))
  {
  }

  void Register(const Flags& aFlags) const;
  void Serve(int aSocket);

private:
  bool HandleRequest(Channel& aChannel, const Head& aHead);
  bool Stream(Channel& aChannel, const Head& aHead, int aEvents);
  bool AnswerOnce(Channel& aChannel, const Head& aHead);
  std::string AnswerHead(const Head& aHead) const;
  bool HasDeadlyPart(const Head& aHead) const;
  void Record(const std::string& aLine) const;

  std::string m_id;
  std::string m_version;
  std::string m_deadlyPart;
  std::string m_record;
  std::int64_t m_eventMs;
  std::int64_t m_workMs;
  std::int64_t m_pieces;
  std::int64_t m_slots;
  bool m_endsByClose;
  std::atomic<int> m_running{ 0 };
};

void
Worker::Record(const std::string& aLine) const
{
  standin::AppendLine(
    m_record, std::to_string(NowMs()) + " worker " + m_id + " " + aLine);
}

//! Writes the worker's entry into the store as long as the process runs.
void
Worker::Register(const Flags& aFlags) const
{
  const auto entry =
    R"({"service":")" + aFlags.Text("service") + R"(","address":")" +
    aFlags.Text("listen") + R"(","zone":")" + aFlags.Text("zone", "zone-a") +
    R"(","version":")" + m_version + R"(","slots":)" + std::to_string(m_slots) +
    R"(,"state":"ready","coldRemainingMs":0,"sequence":1})";
  while (true) {
    Channel channel(standin::Connect(aFlags.Text("store")));
    if (channel.IsOpen()) {
      channel.SendAll("PUT /-/item?key=servers/" + m_id +
                      "&ttlMs=" + std::to_string(kEntryTtlMs) +
                      " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                      std::to_string(entry.size()) + "\r\n\r\n" + entry);
      channel.ReadHead();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kHeartbeatMs));
  }
}

void
Worker::Serve(int aSocket)
{
  Channel channel(aSocket);
  while (const auto head = channel.ReadHead()) {
    std::string body;
    const auto length =
      std::strtoull(head->Field("content-length").c_str(), nullptr, 10);
    if (!channel.ReadExactly(length, body) || !HandleRequest(channel, *head)) {
      return;
    }
  }
}

//! Answers one request; returns false if the channel ends with the answer.
bool
Worker::HandleRequest(Channel& aChannel, const Head& aHead)
{
  if (aHead.Field("hemlockgauge-expect-instance") != m_id) {
    return aChannel.SendAll("HTTP/1.1 421 Misdirected Request\r\n"
                            "Hemlockgauge-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
  }
  const auto request = aHead.Field("hemlockgauge-attempt-id");
  const auto tokens = aHead.Field("hemlockgauge-token-count");
  const auto comma = tokens.find(',');
  Record("runs " + request);
  ++m_running;
  bool kept = false;
  if (comma != std::string::npos) {
    const auto output = std::strtol(tokens.c_str() + comma + 1, nullptr, 10);
    kept = Stream(aChannel, aHead, static_cast<int>(output / kTokensPerEvent));
  } else {
    kept = AnswerOnce(aChannel, aHead);
  }
  --m_running;
  return kept;
}

std::string
Worker::AnswerHead(const Head& aHead) const
{
  const auto request = aHead.Field("hemlockgauge-attempt-id");
  return "HTTP/1.1 200 OK\r\nHemlockgauge-Attempt-Id: " + request +
         "\r\nHemlockgauge-Response-Seal: " + m_id + "." + request +
         "\r\nHemlockgauge-Instance-Load: " + std::to_string(m_running) +
         ",0," + std::to_string(m_slots) + "\r\n" +
         (m_endsByClose ? "Connection: close\r\n"
                        : "Keep-Alive: timeout=10\r\n");
}

//! Whether a part of the prompt, other than the last, crashes the worker.
bool
Worker::HasDeadlyPart(const Head& aHead) const
{
  const auto parts = aHead.Field("hemlockgauge-prefix-hash");
  const auto last = parts.rfind(',');
  std::istringstream list(last == std::string::npos ? ""
                                                    : parts.substr(0, last));
  std::string part;
  while (!m_deadlyPart.empty() && std::getline(list, part, ',')) {
    if (part.substr(0, part.find(':')) == m_deadlyPart) {
      return true;
    }
  }
  return false;
}

bool
Worker::Stream(Channel& aChannel, const Head& aHead, int aEvents)
{
  const auto request = aHead.Field("hemlockgauge-attempt-id");
  std::this_thread::sleep_for(std::chrono::milliseconds(m_workMs));
  if (HasDeadlyPart(aHead)) {
    Record("crashes under " + request);
    kill(getpid(), SIGKILL);
  }
  auto text = AnswerHead(aHead) + "Content-Type: text/event-stream\r\n" +
              (m_endsByClose ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
  const auto last =
    std::strtol(aHead.Field("last-event-id").c_str(), nullptr, 10);
  for (int i = static_cast<int>(last) + 1; i <= aEvents; ++i) {
    const auto number = std::to_string(i);
    const auto event = Join({ "id: ",
                              number,
                              "\ndata: ",
                              m_version,
                              " ",
                              request,
                              ".",
                              number,
                              "\n\n" });
    if (m_endsByClose) {
      text += event;
    } else {
      std::ostringstream size;
      size << std::hex << event.size();
      text += Join({ size.str(), "\r\n", event, "\r\n" });
    }
    if (!aChannel.SendAll(text)) {
      Record(Join({ "dropped ", request, " after event ", number }));
      return false;
    }
    Record(Join({ "wrote ",
                  request,
                  " event ",
                  number,
                  " of ",
                  std::to_string(aEvents) }));
    text.clear();
    std::this_thread::sleep_for(std::chrono::milliseconds(m_eventMs));
  }
  const bool ended = aChannel.SendAll(m_endsByClose ? "" : "0\r\n\r\n");
  Record("ended " + request);
  return ended && !m_endsByClose;
}

//! Answers with one body, which is written in several pieces.
bool
Worker::AnswerOnce(Channel& aChannel, const Head& aHead)
{
  const auto request = aHead.Field("hemlockgauge-attempt-id");
  std::this_thread::sleep_for(std::chrono::milliseconds(m_workMs));
  std::string body;
  for (std::int64_t i = 1; i <= m_pieces; ++i) {
    body += Join({ request,
                   " piece ",
                   std::to_string(i),
                   " of ",
                   std::to_string(m_pieces),
                   "\n" });
  }
  auto head = AnswerHead(aHead);
  head += m_endsByClose
            ? "\r\n"
            : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!aChannel.SendAll(head)) {
    return false;
  }
  std::istringstream lines(body);
  std::string line;
  int piece = 0;
  while (std::getline(lines, line)) {
    line += "\n";
    if (!aChannel.SendAll(line)) {
      return false;
    }
    Record("wrote " + request + " piece " + std::to_string(++piece) + " of " +
           std::to_string(m_pieces));
    std::this_thread::sleep_for(std::chrono::milliseconds(m_eventMs));
  }
  Record("ended " + request);
  return !m_endsByClose;
}

}

int
main(int argc, char** argv)
{
  const Flags flags(argc, argv);
  const int listener = standin::Listen(flags.Text("listen"));
  Worker worker(flags);
  std::thread([&] { worker.Register(flags); }).detach();
  while (true) {
    const int accepted = accept(listener, nullptr, nullptr);
    if (accepted >= 0) {
      std::thread([&worker, accepted] { worker.Serve(accepted); }).detach();
    }
  }
}
