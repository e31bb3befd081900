#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::document {

struct IniEntry
{
  std::string key;
  std::string value;
  int line = 0;
};

struct IniSection
{
  std::string name;
  std::vector<IniEntry> entries;
};

//! Parses INI text; returns its sections in order of first appearance. Throws
//! Error(BadSyntax) with aFile and the line.
std::vector<IniSection>
ReadIni(const std::string& aFile, std::string_view aText);

}
