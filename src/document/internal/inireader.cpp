#include "document/inireader.h"

#include "base/error.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace hemlockgauge::document {

namespace {

//! Input and result of one parse. The packaged inih passes no line number to
//! its handler, so NextLine counts the lines. It also truncates a line that
//! does not fit its buffer, so NextLine rejects such a line.
struct ParseState
{
  std::string_view rest;
  int line = 0;
  bool tooLong = false;
  std::vector<IniSection> sections;
};

char*
NextLine(char* aBuffer, int aSize, void* aStream)
{
  auto& state = *static_cast<ParseState*>(aStream);
  if (state.rest.empty() || state.tooLong) {
    return nullptr;
  }
  const auto end = state.rest.find('\n');
  const auto line = state.rest.substr(0, end);
  state.line++;
  if (line.size() + 2 > static_cast<std::size_t>(aSize)) {
    state.tooLong = true;
    return nullptr;
  }
  std::memcpy(aBuffer, line.data(), line.size());
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  state.rest.remove_prefix(end == std::string_view::npos ? state.rest.size()
                                                         : end + 1);
  return aBuffer;
}

int
AddEntry(void* aUser,
         const char* aSection,
         const char* aKey,
         const char* aValue)
{
  auto& state = *static_cast<ParseState*>(aUser);
  const auto known = std::find_if(
    state.sections.begin(),
    state.sections.end(),
    [&](const IniSection& aCandidate) { return aCandidate.name == aSection; });
  IniSection& section =
    known != state.sections.end()
      ? *known
      : state.sections.emplace_back(IniSection{ aSection, {} });
  section.entries.push_back({ aKey, aValue, state.line });
  return 1;
}

[[noreturn]] void
ThrowBadLine(const std::string& aFile, int aLine, const std::string& aWhy)
{
  throw base::Error(base::ErrorCode::BadSyntax,
                    aFile + ":" + std::to_string(aLine) + ": " + aWhy);
}

}

std::vector<IniSection>
ReadIni(const std::string& aFile, std::string_view aText)
{
  ParseState state{ aText, 0, false, {} };
  if (aText.find('\0') != std::string_view::npos) {
    ThrowBadLine(aFile, 1, "expected text, got a NUL byte");
  }
  const int badLine = ini_parse_stream(NextLine, &state, AddEntry, &state);
  if (state.tooLong) {
    ThrowBadLine(
      aFile, state.line, "expected at most 198 characters in a line");
  }
  if (badLine != 0) {
    ThrowBadLine(
      aFile, std::max(badLine, 1), "expected [section] or key = value");
  }
  return std::move(state.sections);
}

}
