#pragma once

#include "base/address.h"
#include "base/error.h"
#include "document/inireader.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::document {

//! Takes typed values out of one section and, at Finish, refuses what no
//! one asked for. Every error names file, line, key and what was expected.
class SectionReader
{
public:
  SectionReader(std::string aFile, const IniSection& aSection);

  std::string Text(std::string_view aKey);
  std::string TextOr(std::string_view aKey, std::string_view aDefault);
  std::uint32_t Number(std::string_view aKey,
                       std::uint32_t aLow,
                       std::uint32_t aHigh);
  std::uint32_t NumberOr(std::string_view aKey,
                         std::uint32_t aLow,
                         std::uint32_t aHigh,
                         std::uint32_t aDefault);
  double RealOr(std::string_view aKey,
                double aLow,
                double aHigh,
                double aDefault);
  base::Address Address(std::string_view aKey);
  //! Every value of a key that may stand more than once.
  std::vector<std::string> All(std::string_view aKey);
  void Finish() const;

  [[noreturn]] void Fail(base::ErrorCode aCode,
                         std::string_view aKey,
                         const std::string& aExpected) const;

private:
  const IniEntry* Find(std::string_view aKey);

  std::string m_file;
  const IniSection& m_section;
  std::set<std::string, std::less<>> m_taken;
};

}
