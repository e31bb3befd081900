#include "standins/platformtext.h"

#include <fmt/format.h>

namespace hemlockgauge::standins {

std::string
EncodeCall(const CallText& aCall)
{
  auto text = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n"
                          "Hemlockgauge-Attempt-Id: {}\r\n"
                          "Hemlockgauge-Deadline-Ms: {}\r\n"
                          "Authorization: Bearer {}\r\n",
                          aCall.method,
                          aCall.path,
                          aCall.id,
                          aCall.deadlineMs,
                          aCall.key);
  if (aCall.promptTokens > 0) {
    text += fmt::format("Hemlockgauge-Token-Count: {},{}\r\n"
                        "Hemlockgauge-Prefix-Hash: {}\r\n",
                        aCall.promptTokens,
                        aCall.outputTokens,
                        aCall.promptParts);
  }
  if (!aCall.resumes.empty()) {
    text += fmt::format(
      "Resumes: {}\r\nLast-Event-Id: {}\r\n", aCall.resumes, aCall.lastEvent);
  }
  if (!aCall.body.empty()) {
    text += fmt::format("Content-Length: {}\r\n", aCall.body.size());
  }
  return text + "\r\n" + aCall.body;
}

std::string
ResponseAttemptId(const http::HeaderList& aHeaders)
{
  return std::string(aHeaders.Find("Hemlockgauge-Attempt-Id").value_or(""));
}

std::string
ResponseUpstream(const http::HeaderList& aHeaders)
{
  const auto seal = aHeaders.Find("Hemlockgauge-Response-Seal").value_or("");
  return std::string(seal.substr(0, seal.find('/')));
}

bool
ResponseSaysLeaving(const http::HeaderList& aHeaders)
{
  return aHeaders.Find("Server-Leaving").has_value();
}

}
