#include "soak/oddrequest.h"

#include <fmt/format.h>

#include <string_view>

namespace hemlockgauge::soak {

namespace {

constexpr std::size_t kUnfinishedBodyBytes = 1000;
constexpr std::size_t kUnfinishedChunks = 2000;
constexpr std::size_t kPipelinedBytes = 65536;

//! The start of a head with the fields that each request needs.
std::string
HeadStart(const OddRequestSettings& aSettings,
          std::string_view aId,
          std::string_view aLineEnd,
          std::string_view aMethod = "GET",
          std::string_view aRestOfPath = "")
{
  return fmt::format("{0} {1}{2} HTTP/1.1{3}Host: {4}{3}"
                     "Hemlockgauge-Attempt-Id: {5}{3}"
                     "Hemlockgauge-Deadline-Ms: {6}{3}"
                     "Authorization: Bearer {7}{3}",
                     aMethod,
                     aSettings.path,
                     aRestOfPath,
                     aLineEnd,
                     aSettings.host,
                     aId,
                     aSettings.deadlineMs,
                     aSettings.key);
}

//! Appends aLine until the head, with aReserved bytes after it, has aLimit.
void
Fill(std::string& aHead,
     std::string_view aLine,
     std::size_t aLimit,
     std::size_t aReserved)
{
  while (aHead.size() + aLine.size() + aReserved <= aLimit) {
    aHead += aLine;
  }
}

//! Appends entries "NAME," until the head has aLimit bytes.
void
FillList(std::string& aHead, std::size_t aLimit)
{
  for (std::uint32_t i = 0; aHead.size() + 8 < aLimit; ++i) {
    aHead += fmt::format("y{:x},", i);
  }
}

std::string
PromptText(const OddRequestSettings& aSettings, std::uint64_t aNumber)
{
  auto text =
    HeadStart(aSettings, fmt::format("odd-{}", aNumber), "\r\n", "POST");
  text += "Hemlockgauge-Model: m\r\nHemlockgauge-Token-Count: 300,15\r\n"
          "Content-Length: 1\r\nHemlockgauge-Prefix-Hash: ";
  constexpr std::uint64_t kPartsPerRequest = 0x10000;
  const auto first = (aNumber + 1) * kPartsPerRequest;
  std::string parts;
  for (std::uint64_t i = 0; i < kPartsPerRequest; ++i) {
    const auto part = fmt::format("{}{:x}:0", i == 0 ? "" : ",", first + i);
    if (text.size() + parts.size() + part.size() + 4 > aSettings.maxHeadBytes) {
      break;
    }
    parts += part;
  }
  return text + parts + "\r\n\r\nb";
}

}

std::string
OddRequestText(OddRequest aKind,
               const OddRequestSettings& aSettings,
               std::uint64_t aNumber)
{
  const auto id = fmt::format("odd-{}", aNumber);
  const auto limit = aSettings.maxHeadBytes;
  auto text = HeadStart(aSettings, id, "\r\n");
  switch (aKind) {
    case OddRequest::ShortFields:
      Fill(text, "a:\r\n", limit, 2);
      return text + "\r\n";
    case OddRequest::ShortFieldsByLf:
      text = HeadStart(aSettings, id, "\n");
      Fill(text, "a:\n", limit, 1);
      return text + "\n";
    case OddRequest::MediumFields:
      Fill(text, "x-name-of-16-byt: value-of-16-byte\r\n", limit, 2);
      return text + "\r\n";
    case OddRequest::FoldedFields:
      Fill(text, "a:b\r\n c\r\n\td\r\n", limit, 2);
      return text + "\r\n";
    case OddRequest::ConnectionList:
      text += "Connection: ";
      FillList(text, limit / 2);
      text += "keep-alive\r\n";
      Fill(text, "x: \r\n", limit, 2);
      return text + "\r\n";
    case OddRequest::PromptParts:
      return PromptText(aSettings, aNumber);
    case OddRequest::LongId: {
      const auto room = limit - text.size() - 2;
      return HeadStart(aSettings, id + std::string(room, 'i'), "\r\n") + "\r\n";
    }
    case OddRequest::LongTarget: {
      const auto room = limit - text.size() - 2;
      return HeadStart(aSettings, id, "\r\n", "GET", std::string(room, 't')) +
             "\r\n";
    }
    case OddRequest::UnfinishedHead:
      Fill(text, "a:\r\n", limit, 2);
      return text;
    case OddRequest::UnfinishedBody:
      text = HeadStart(aSettings, id, "\n", "POST") +
             fmt::format("Content-Length: {}\n", kUnfinishedBodyBytes);
      Fill(text, "a:\n", limit, 1);
      return text + "\n";
    case OddRequest::UnfinishedChunks:
      text = HeadStart(aSettings, id, "\r\n", "POST") +
             "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t i = 0; i < kUnfinishedChunks; ++i) {
        text += "1\r\nb\r\n";
      }
      return text;
    case OddRequest::PipelinedRefusals: {
      const std::string one = "GET /none HTTP/1.1\r\nHost: h.example\r\n"
                              "Hemlockgauge-Attempt-Id: i\r\n\r\n";
      text.clear();
      while (text.size() < kPipelinedBytes) {
        text += one;
      }
      return text;
    }
    case OddRequest::PipelinedReadAhead:
      text += "\r\n";
      while (text.size() < kPipelinedBytes) {
        text += HeadStart(aSettings, id, "\r\n") + "\r\n";
      }
      return text;
    case OddRequest::Silent:
      return {};
  }
  return {};
}

}
