#include "document/sectionreader.h"

#include <charconv>
#include <cmath>

namespace hemlockgauge::document {

using base::ErrorCode;

namespace {

template<typename Value>
std::optional<Value>
ParseNumber(std::string_view aText)
{
  Value value{};
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}

SectionReader::SectionReader(std::string aFile, const IniSection& aSection)
  : m_file(std::move(aFile))
  , m_section(aSection)
{
}

const IniEntry*
SectionReader::Find(std::string_view aKey)
{
  m_readKeys.emplace(aKey);
  const IniEntry* found = nullptr;
  for (const auto& entry : m_section.entries) {
    if (entry.key != aKey) {
      continue;
    }
    if (found != nullptr) {
      Fail(ErrorCode::DuplicateKey, aKey, "expected once");
    }
    found = &entry;
  }
  return found;
}

std::string
SectionReader::Text(std::string_view aKey)
{
  const auto* entry = Find(aKey);
  if (entry == nullptr || entry->value.empty()) {
    Fail(ErrorCode::MissingKey, aKey, "expected a value");
  }
  return entry->value;
}

std::string
SectionReader::TextOr(std::string_view aKey, std::string_view aDefault)
{
  const auto* entry = Find(aKey);
  return entry == nullptr ? std::string(aDefault) : entry->value;
}

std::uint32_t
SectionReader::Number(std::string_view aKey,
                      std::uint32_t aMin,
                      std::uint32_t aMax)
{
  const auto value = ParseNumber<std::uint32_t>(Text(aKey));
  if (!value || *value < aMin || *value > aMax) {
    Fail(ErrorCode::BadValue,
         aKey,
         "expected a whole number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
  }
  return *value;
}

std::uint32_t
SectionReader::NumberOr(std::string_view aKey,
                        std::uint32_t aMin,
                        std::uint32_t aMax,
                        std::uint32_t aDefault)
{
  return Find(aKey) == nullptr ? aDefault : Number(aKey, aMin, aMax);
}

double
SectionReader::RealOr(std::string_view aKey,
                      double aMin,
                      double aMax,
                      double aDefault)
{
  if (Find(aKey) == nullptr) {
    return aDefault;
  }
  const auto value = ParseNumber<double>(Text(aKey));
  if (!value || !std::isfinite(*value) || *value < aMin || *value > aMax) {
    Fail(ErrorCode::BadValue,
         aKey,
         "expected a number from " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
  }
  return *value;
}

base::Address
SectionReader::Address(std::string_view aKey)
{
  const auto text = Text(aKey);
  try {
    return base::ParseAddress(text);
  } catch (const base::Error& error) {
    Fail(error.Code(), aKey, error.what());
  }
}

std::vector<std::string>
SectionReader::All(std::string_view aKey)
{
  m_readKeys.emplace(aKey);
  std::vector<std::string> values;
  for (const auto& entry : m_section.entries) {
    if (entry.key == aKey) {
      values.push_back(entry.value);
    }
  }
  return values;
}

void
SectionReader::RejectUnknownKeys() const
{
  for (const auto& entry : m_section.entries) {
    if (!m_readKeys.contains(entry.key)) {
      Fail(ErrorCode::UnknownKey, entry.key, "expected no such key");
    }
  }
}

void
SectionReader::Fail(ErrorCode aCode,
                    std::string_view aKey,
                    const std::string& aExpected) const
{
  int line = m_section.entries.empty() ? 1 : m_section.entries.front().line;
  for (const auto& entry : m_section.entries) {
    if (entry.key == aKey) {
      line = entry.line;
    }
  }
  throw base::Error(aCode,
                    m_file + ":" + std::to_string(line) + ": [" +
                      m_section.name + "] " + std::string(aKey) + ": " +
                      aExpected);
}

}
