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

//! Reads typed values from one INI section. RejectUnknownKeys rejects keys that
//! were not read. Each error contains file, line, key and expected value.
class SectionReader
{
public:
  SectionReader(std::string aFile, const IniSection& aSection);

  std::string Text(std::string_view aKey);
  std::string TextOr(std::string_view aKey, std::string_view aDefault);
  std::uint32_t Number(std::string_view aKey,
                       std::uint32_t aMin,
                       std::uint32_t aMax);
  std::uint32_t NumberOr(std::string_view aKey,
                         std::uint32_t aMin,
                         std::uint32_t aMax,
                         std::uint32_t aDefault);
  double RealOr(std::string_view aKey,
                double aMin,
                double aMax,
                double aDefault);
  base::Address Address(std::string_view aKey);
  //! All values of a key that may occur more than once.
  std::vector<std::string> All(std::string_view aKey);
  //! Throws Error(UnknownKey) if the section has a key that was not read.
  void RejectUnknownKeys() const;

  [[noreturn]] void Fail(base::ErrorCode aCode,
                         std::string_view aKey,
                         const std::string& aExpected) const;

private:
  const IniEntry* Find(std::string_view aKey);

  std::string m_file;
  const IniSection& m_section;
  std::set<std::string, std::less<>> m_readKeys;
};

}
