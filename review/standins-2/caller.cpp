#include "net.h"

#include <chrono>
#include <cstdlib>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

//! A stand-in of consumers: sends requests at a fixed pace, each on a channel
//! of its own, in turn to the routers named, and records how each ended.
namespace {

using standin::Channel;
using standin::Flags;
using standin::Head;
using standin::NowMs;

constexpr std::int64_t kPastDeadlineMs = 500;

enum class End
{
  Complete, //!< the answer ended as its framing says
  Cut,      //!< the channel ended before
  Silent    //!< neither, until the consumer stopped waiting
};

struct Request
{
  std::string id;
  std::string router;
  std::string lastEventId; //!< of the stream that it takes up
  std::string resumes;     //!< the attempt that began that stream
};

struct Outcome
{
  std::int64_t sentMs = 0;
  std::int64_t endMs = 0;
  int status = 0; //!< 0: no answer began
  End end = End::Silent;
  std::string body;

  int CountEvents() const;
  std::string LastEventId() const;
  std::string Versions() const;
};

int
Outcome::CountEvents() const
{
  int count = 0;
  for (auto at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    count++;
  }
  return count;
}

std::string
Outcome::LastEventId() const
{
  const auto end = body.rfind("\n\n");
  const auto at = end == std::string::npos ? end : body.rfind("id: ", end);
  if (at == std::string::npos) {
    return "";
  }
  return body.substr(at + 4, body.find('\n', at) - at - 4);
}

//! Software versions of the workers that wrote the events.
std::string
Outcome::Versions() const
{
  std::set<std::string> versions;
  std::istringstream lines(body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("data: ")) {
      versions.insert(line.substr(6, line.find(' ', 6) - 6));
    }
  }
  std::string text;
  for (const auto& version : versions) {
    text += (text.empty() ? "" : "+") + version;
  }
  return text;
}

//! Reads the body as the head frames it; returns whether it is whole.
bool
ReadBody(Channel& aChannel, const Head& aHead, std::string& aBody)
{
  if (aHead.Field("transfer-encoding") == "chunked") {
    std::string line;
    std::string piece;
    while (aChannel.ReadLine(line)) {
      const auto size = std::strtoull(line.c_str(), nullptr, 16);
      if (!aChannel.ReadExactly(size, piece)) {
        aBody += aChannel.TakeBuffer();
        return false;
      }
      aBody += piece;
      if (!aChannel.ReadLine(line)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
    return false;
  }
  if (!aHead.Field("content-length").empty()) {
    const auto size =
      std::strtoull(aHead.Field("content-length").c_str(), nullptr, 10);
    const bool whole = aChannel.ReadExactly(size, aBody);
    if (!whole) {
      aBody = aChannel.TakeBuffer();
    }
    return whole;
  }
  while (aChannel.ReadMore()) {
  }
  aBody = aChannel.TakeBuffer();
  return aChannel.EndedInOrder();
}

class Caller
{
public:
  explicit Caller(const Flags& aFlags)
    : m_flags(aFlags)
  {
    std::istringstream list(aFlags.Text("routers"));
    std::string router;
    while (std::getline(list, router, ',')) {
      m_routers.push_back(router);
    }
  }

  void Run();

private:
  void RunOne(int aNumber) const;
  Outcome Send(const Request& aRequest, std::int64_t aPatienceMs) const;
  std::string Encode(const Request& aRequest) const;
  void Record(const char* aWord,
              const Request& aRequest,
              const Outcome& aOutcome) const;

  const Flags& m_flags;
  std::vector<std::string> m_routers;
};

std::string
Caller::Encode(const Request& aRequest) const
{
  // No two bodies are alike, as they begin with the request's id.
  const auto size = static_cast<std::size_t>(m_flags.Number("body-bytes", 0));
  auto body = size > 0 ? aRequest.id + " " : std::string();
  body.resize(size, 'b');
  auto text = m_flags.Text("method", "POST") + " " + m_flags.Text("path") +
              " HTTP/1.1\r\nHost: " + m_flags.Text("host") +
              "\r\nHemlockgauge-Attempt-Id: " + aRequest.id +
              "\r\nHemlockgauge-Deadline-Ms: " +
              std::to_string(m_flags.Number("deadline-ms", 6000)) + "\r\n";
  if (m_flags.Has("tokens")) {
    text += "Hemlockgauge-Model: m\r\nHemlockgauge-Token-Count: " +
            m_flags.Text("tokens") + "\r\n";
  }
  if (m_flags.Has("parts")) {
    // The last part of a prompt belongs to the request alone.
    std::ostringstream own;
    own << std::hex << std::hash<std::string>()(aRequest.id) % 0xffffffU;
    text += "Hemlockgauge-Prefix-Hash: " + m_flags.Text("parts") + "," +
            own.str() + ":40\r\n";
  }
  if (!aRequest.resumes.empty()) {
    text += "Last-Event-Id: " + aRequest.lastEventId +
            "\r\nResumes: " + aRequest.resumes + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

//! Sends a request and reads its answer; closes the channel after aPatienceMs.
Outcome
Caller::Send(const Request& aRequest, std::int64_t aPatienceMs) const
{
  Outcome outcome;
  outcome.sentMs = NowMs();
  Channel channel(standin::Connect(aRequest.router));
  channel.SetDeadline(outcome.sentMs + aPatienceMs);
  if (!channel.IsOpen() || !channel.SendAll(Encode(aRequest))) {
    outcome.end = End::Cut;
    outcome.endMs = NowMs();
    return outcome;
  }
  const auto head = channel.ReadHead();
  bool whole = false;
  if (head) {
    outcome.status =
      std::atoi(head->start.substr(head->start.find(' ') + 1).c_str());
    whole = ReadBody(channel, *head, outcome.body);
  }
  outcome.endMs = NowMs();
  const bool timedOut = outcome.endMs - outcome.sentMs >= aPatienceMs;
  outcome.end = whole ? End::Complete : timedOut ? End::Silent : End::Cut;
  return outcome;
}

void
Caller::Record(const char* aWord,
               const Request& aRequest,
               const Outcome& aOutcome) const
{
  const char* end = aOutcome.end == End::Complete ? "complete"
                    : aOutcome.end == End::Cut    ? "cut"
                                                  : "silent";
  std::ostringstream line;
  line << aOutcome.endMs << " caller " << aWord << " " << aRequest.id
       << " router=" << aRequest.router
       << " waited_ms=" << aOutcome.endMs - aOutcome.sentMs
       << " status=" << aOutcome.status << " end=" << end
       << " bytes=" << aOutcome.body.size()
       << " events=" << aOutcome.CountEvents()
       << " last=" << aOutcome.LastEventId()
       << " versions=" << aOutcome.Versions()
       << " resumes=" << aRequest.resumes;
  standin::AppendLine(m_flags.Text("record"), line.str());
}

void
Caller::RunOne(int aNumber) const
{
  Request request;
  request.id = m_flags.Text("ids", "q") + std::to_string(aNumber);
  request.router =
    m_routers[static_cast<std::size_t>(aNumber) % m_routers.size()];
  const auto patienceMs = m_flags.Number("deadline-ms", 6000) + kPastDeadlineMs;
  const auto first =
    Send(request, m_flags.Number("break-after-ms", patienceMs));
  Record("sent", request, first);
  const bool mayResume = m_flags.Has("resume-after-ms") &&
                         first.status == 200 && first.end != End::Complete &&
                         first.CountEvents() > 0;
  if (!mayResume) {
    return;
  }
  std::this_thread::sleep_for(
    std::chrono::milliseconds(m_flags.Number("resume-after-ms", 0)));
  Request again;
  again.id = request.id + "-again";
  again.router =
    m_routers[static_cast<std::size_t>(aNumber + 1) % m_routers.size()];
  again.lastEventId = first.LastEventId();
  again.resumes = request.id;
  Record("resumed", again, Send(again, patienceMs));
}

void
Caller::Run()
{
  std::vector<std::thread> running;
  const auto count = m_flags.Number("count", 1);
  for (int i = 0; i < count; ++i) {
    running.emplace_back([this, i] { RunOne(i); });
    std::this_thread::sleep_for(
      std::chrono::milliseconds(m_flags.Number("gap-ms", 20)));
  }
  for (auto& one : running) {
    one.join();
  }
}

}

int
main(int argc, char** argv)
{
  const Flags flags(argc, argv);
  Caller(flags).Run();
}
