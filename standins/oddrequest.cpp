#include "standins/oddrequest.h"

#include <fmt/format.h>

#include <string_view>

namespace hemlockgauge::standins {

namespace {

constexpr std::string_view kCrLf = "\r\n";
constexpr std::string_view kLf = "\n";
//! Not allowed in a target unless it is escaped, but accepted.
constexpr char kEscapedByte = '\x80';
constexpr std::size_t kUnfinishedBodyBytes = 1000;
constexpr std::size_t kUnfinishedChunks = 2000;
constexpr std::size_t kPipelinedBytes = 65536;
//! More prompt parts than fit into a head.
constexpr std::uint64_t kPartsPerRequest = 0x10000;

//! The parts of a head that each request needs.
struct HeadParts
{
  std::string_view method = "GET";
  std::string path;
  std::string id;
  std::string_view lineEnd = kCrLf;
};

//! A head without the blank line at its end.
std::string
OpenHead(const OddRequestSettings& aSettings, const HeadParts& aParts)
{
  return fmt::format("{0} {1} HTTP/1.1{2}Host: {3}{2}"
                     "Hemlockgauge-Attempt-Id: {4}{2}"
                     "Hemlockgauge-Deadline-Ms: {5}{2}"
                     "Authorization: Bearer {6}{2}",
                     aParts.method,
                     aParts.path,
                     aParts.lineEnd,
                     aSettings.host,
                     aParts.id,
                     aSettings.deadlineMs,
                     aSettings.key);
}

//! Appends aLine until no more fit before a blank line that ends with aLineEnd
//! and makes the head aLimit bytes long.
void
Fill(std::string& aHead,
     std::string_view aLine,
     std::size_t aLimit,
     std::string_view aLineEnd = kCrLf)
{
  while (aHead.size() + aLine.size() + aLineEnd.size() <= aLimit) {
    aHead += aLine;
  }
}

//! Appends a Connection field that names so many fields that the head gets
//! about aLimit bytes.
void
AppendConnectionList(std::string& aHead, std::size_t aLimit)
{
  aHead += "Connection: ";
  for (std::uint32_t i = 0; aHead.size() < aLimit; ++i) {
    aHead += fmt::format("y{:x},", i);
  }
  aHead += "keep-alive\r\n";
}

//! Appends as many prompt parts of no tokens as fit before the end of a head of
//! aLimit bytes. Their ids differ between requests.
void
AppendPromptParts(std::string& aHead, std::uint64_t aNumber, std::size_t aLimit)
{
  aHead += "Hemlockgauge-Model: m\r\nHemlockgauge-Token-Count: 300,15\r\n"
           "Content-Length: 1\r\nHemlockgauge-Prefix-Hash: ";
  const auto first = (aNumber + 1) * kPartsPerRequest;
  for (std::uint64_t i = 0; i < kPartsPerRequest; ++i) {
    const auto part = fmt::format("{}{:x}:0", i == 0 ? "" : ",", first + i);
    if (aHead.size() + part.size() + 2 * kCrLf.size() > aLimit) {
      break;
    }
    aHead += part;
  }
  aHead += kCrLf;
}

std::string
Repeat(std::string_view aText, std::size_t aMinBytes)
{
  std::string all;
  while (all.size() < aMinBytes) {
    all += aText;
  }
  return all;
}

}

std::string
OddRequestText(OddRequest aKind,
               const OddRequestSettings& aSettings,
               std::uint64_t aNumber)
{
  const auto limit = aSettings.maxHeadBytes;
  HeadParts parts;
  parts.path = aSettings.path;
  parts.id = fmt::format("{}{}", kOddRequestId, aNumber);
  auto head = OpenHead(aSettings, parts);
  const auto room = limit - head.size() - kCrLf.size();
  switch (aKind) {
    case OddRequest::ShortFields:
      Fill(head, "a:\r\n", limit);
      return head.append(kCrLf);
    case OddRequest::ShortFieldsByLf:
      parts.lineEnd = kLf;
      head = OpenHead(aSettings, parts);
      Fill(head, "a:\n", limit, kLf);
      return head.append(kLf);
    case OddRequest::MediumFields:
      Fill(head, "x-name-of-16-byt: value-of-16-byte\r\n", limit);
      return head.append(kCrLf);
    case OddRequest::FoldedFields:
      Fill(head, "a:b\r\n c\r\n\td\r\n", limit);
      return head.append(kCrLf);
    case OddRequest::ConnectionList:
      AppendConnectionList(head, limit / 2);
      Fill(head, "x: \r\n", limit);
      return head.append(kCrLf);
    case OddRequest::PromptParts:
      parts.method = "POST";
      head = OpenHead(aSettings, parts);
      AppendPromptParts(head, aNumber, limit);
      return head.append(kCrLf) + "b";
    case OddRequest::LongId:
      parts.id += std::string(room, 'i');
      return OpenHead(aSettings, parts).append(kCrLf);
    case OddRequest::LongTarget:
      parts.path += std::string(room, 't');
      return OpenHead(aSettings, parts).append(kCrLf);
    case OddRequest::RawTarget:
      parts.path += '?' + std::string(room - 1, kEscapedByte);
      return OpenHead(aSettings, parts).append(kCrLf);
    case OddRequest::SlashTarget:
      parts.path = "/none" + std::string(room, '/');
      return Repeat(OpenHead(aSettings, parts).append(kCrLf), kPipelinedBytes);
    case OddRequest::UnfinishedHead:
      Fill(head, "a:\r\n", limit);
      return head;
    case OddRequest::UnfinishedBody:
      parts.method = "POST";
      parts.lineEnd = kLf;
      head = OpenHead(aSettings, parts) +
             fmt::format("Content-Length: {}\n", kUnfinishedBodyBytes);
      Fill(head, "a:\n", limit, kLf);
      return head.append(kLf);
    case OddRequest::UnfinishedChunks: {
      constexpr std::string_view kChunk = "1\r\nb\r\n";
      parts.method = "POST";
      return OpenHead(aSettings, parts) + "Transfer-Encoding: chunked\r\n\r\n" +
             Repeat(kChunk, kUnfinishedChunks * kChunk.size());
    }
    case OddRequest::PipelinedRefusals:
      return Repeat("GET /none HTTP/1.1\r\nHost: h.example\r\n"
                    "Hemlockgauge-Attempt-Id: i\r\n\r\n",
                    kPipelinedBytes);
    case OddRequest::PipelinedReadAhead:
      return Repeat(head.append(kCrLf), kPipelinedBytes);
    case OddRequest::Silent:
      return {};
  }
  return {};
}

}
