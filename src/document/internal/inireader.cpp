#include "document/inireader.h"

#include "base/error.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace hemlockgauge::document {

namespace {

//! NOTE inih as packaged hands its handler no line number, so the lines
//! are counted where it asks for the next one. It also cuts a line that
//! does not fit its buffer, so such a line is refused here.
struct Source
{
  std::string_view rest;
  int line = 0;
  bool tooLong = false;
  std::vector<IniSection> sections;
};

char*
NextLine(char* aBuffer, int aSize, void* aStream)
{
  auto& source = *static_cast<Source*>(aStream);
  if (source.rest.empty() || source.tooLong) {
    return nullptr;
  }
  const auto end = source.rest.find('\n');
  const auto line = source.rest.substr(0, end);
  source.line++;
  if (line.size() + 2 > static_cast<std::size_t>(aSize)) {
    source.tooLong = true;
    return nullptr;
  }
  std::memcpy(aBuffer, line.data(), line.size());
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  source.rest.remove_prefix(end == std::string_view::npos ? source.rest.size()
                                                          : end + 1);
  return aBuffer;
}

int
TakeEntry(void* aUser,
          const char* aSection,
          const char* aKey,
          const char* aValue)
{
  auto& source = *static_cast<Source*>(aUser);
  const auto known =
    std::find_if(source.sections.begin(),
                 source.sections.end(),
                 [&](const IniSection& aOne) { return aOne.name == aSection; });
  IniSection& section =
    known != source.sections.end()
      ? *known
      : source.sections.emplace_back(IniSection{ aSection, {} });
  section.entries.push_back({ aKey, aValue, source.line });
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
  Source source{ aText, 0, false, {} };
  if (aText.find('\0') != std::string_view::npos) {
    ThrowBadLine(aFile, 1, "expected text, got a NUL byte");
  }
  const int badLine = ini_parse_stream(NextLine, &source, TakeEntry, &source);
  if (source.tooLong) {
    ThrowBadLine(aFile, source.line, "line longer than 198 characters");
  }
  if (badLine != 0) {
    ThrowBadLine(
      aFile, std::max(badLine, 1), "expected [section] or key = value");
  }
  return std::move(source.sections);
}

}
