#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <iostream>

namespace standin {

namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 16384;
constexpr int kMaxWaitMs = 3600000;

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(),
                 aText.end(),
                 aText.begin(),
                 [](unsigned char aChar) { return std::tolower(aChar); });
  return aText;
}

sockaddr_in
SocketAddress(const std::string& aText)
{
  const auto [ip, port] = ParseAddress(aText);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void
SendWithoutDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}

std::string
Head::Field(const std::string& aName) const
{
  const auto found = headers.find(aName);
  return found == headers.end() ? "" : found->second;
}

Channel::Channel(int aSocket)
  : m_socket(aSocket)
{
  if (m_socket >= 0) {
    SendWithoutDelay(m_socket);
  }
}

Channel::~Channel()
{
  Close();
}

void
Channel::Close()
{
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

bool
Channel::SendAll(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto sent =
      send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool
Channel::ReadMore()
{
  int wait = kMaxWaitMs;
  if (m_deadlineMs > 0) {
    wait = static_cast<int>(
      std::clamp<std::int64_t>(m_deadlineMs - NowMs(), 0, kMaxWaitMs));
  }
  pollfd ready{ m_socket, POLLIN, 0 };
  if (poll(&ready, 1, wait) <= 0) {
    return false;
  }
  std::array<char, kReadBytes> bytes;
  const auto received = recv(m_socket, bytes.data(), bytes.size(), 0);
  if (received <= 0) {
    m_endedInOrder = received == 0;
    return false;
  }
  m_buffer.append(bytes.data(), static_cast<std::size_t>(received));
  return true;
}

std::string
Channel::TakeBuffer()
{
  std::string taken;
  taken.swap(m_buffer);
  return taken;
}

bool
Channel::ReadLine(std::string& aOut)
{
  auto end = m_buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!ReadMore()) {
      return false;
    }
    end = m_buffer.find("\r\n");
  }
  aOut = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return true;
}

bool
Channel::ReadExactly(std::size_t aBytes, std::string& aOut)
{
  while (m_buffer.size() < aBytes) {
    if (!ReadMore()) {
      return false;
    }
  }
  aOut = m_buffer.substr(0, aBytes);
  m_buffer.erase(0, aBytes);
  return true;
}

std::optional<Head>
Channel::ReadHead()
{
  Head head;
  if (!ReadLine(head.start)) {
    return std::nullopt;
  }
  std::string line;
  while (true) {
    if (!ReadLine(line)) {
      return std::nullopt;
    }
    if (line.empty()) {
      return head;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    auto value = line.substr(colon + 1);
    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
    head.headers[Lower(line.substr(0, colon))] = value;
  }
}

std::int64_t
NowMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

std::pair<std::string, std::uint16_t>
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  const auto port = std::strtoul(aText.c_str() + colon + 1, nullptr, 10);
  return { aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

int
Listen(const std::string& aAddress)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = SocketAddress(aAddress);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (bind(listener, raw, sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    std::cerr << aAddress << ": cannot listen on this address\n";
    std::exit(1);
  }
  return listener;
}

int
Connect(const std::string& aAddress)
{
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = SocketAddress(aAddress);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (connect(connected, raw, sizeof(address)) != 0) {
    close(connected);
    return -1;
  }
  return connected;
}

void
AppendLine(const std::string& aFile, const std::string& aLine)
{
  const int file =
    open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const auto line = aLine + "\n";
  if (file >= 0) {
    if (write(file, line.data(), line.size()) < 0) {
      std::cerr << aFile << ": cannot be written\n";
    }
    close(file);
  }
}

Flags::Flags(int argc, char** argv)
{
  for (int i = 1; i < argc; ++i) {
    const std::string text = argv[i];
    const auto equals = text.find('=');
    const auto name = text.substr(2, equals - 2);
    m_values[name] = equals == std::string::npos ? "" : text.substr(equals + 1);
  }
}

std::string
Flags::Text(const std::string& aName, const std::string& aDefault) const
{
  const auto found = m_values.find(aName);
  return found == m_values.end() ? aDefault : found->second;
}

std::int64_t
Flags::Number(const std::string& aName, std::int64_t aDefault) const
{
  const auto found = m_values.find(aName);
  return found == m_values.end()
           ? aDefault
           : std::strtoll(found->second.c_str(), nullptr, 10);
}

bool
Flags::Has(const std::string& aName) const
{
  return m_values.count(aName) > 0;
}

}
