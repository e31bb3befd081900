#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

//! Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
namespace standin {

using Headers = std::map<std::string, std::string>; //!< names in lower case

struct Head
{
  std::string start; //!< request line or status line
  Headers headers;

  std::string Field(const std::string& aName) const;
};

//! A connected socket with the bytes that were read and not yet used.
class Channel
{
public:
  explicit Channel(int aSocket);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool IsOpen() const { return m_socket >= 0; }
  bool SendAll(std::string_view aBytes);
  //! Reads one message head; empty if the peer closed the channel or the time
  //! set with SetDeadline is over.
  std::optional<Head> ReadHead();
  //! Reads exactly aBytes; returns false if the peer ended before.
  bool ReadExactly(std::size_t aBytes, std::string& aOut);
  bool ReadLine(std::string& aOut);
  //! Appends whatever comes next to the buffer.
  bool ReadMore();
  std::string TakeBuffer();
  //! Reads of this channel fail after this time (NowMs).
  void SetDeadline(std::int64_t aAtMs) { m_deadlineMs = aAtMs; }
  //! The peer ended the channel in order, with no reset and no time-out.
  bool EndedInOrder() const { return m_endedInOrder; }
  void Close();

private:
  int m_socket;
  std::string m_buffer;
  std::int64_t m_deadlineMs = 0;
  bool m_endedInOrder = false;
};

//! Milliseconds of the steady clock, the same for all processes of a run.
std::int64_t
NowMs();

//! Splits IP:PORT.
std::pair<std::string, std::uint16_t>
ParseAddress(const std::string& aText);

//! Returns a listening socket; ends the process if there is none to be had.
int
Listen(const std::string& aAddress);

//! Returns a connected socket, or -1.
int
Connect(const std::string& aAddress);

//! Appends one line to a file in a single write, so that lines of several
//! processes don't mix.
void
AppendLine(const std::string& aFile, const std::string& aLine);

//! The flags --name=value of a command line.
class Flags
{
public:
  Flags(int argc, char** argv);
  std::string Text(const std::string& aName,
                   const std::string& aDefault = "") const;
  std::int64_t Number(const std::string& aName, std::int64_t aDefault) const;
  bool Has(const std::string& aName) const;

private:
  std::map<std::string, std::string> m_values;
};

}
