#include "http/headerlist.h"

#include "base/error.h"
#include "http/httptypes.h"

namespace hemlockgauge::http {

namespace {

//! AppendField writes two bytes more for each field than a list stores: the
//! blank after the colon and CR.
constexpr std::size_t kEncodingOverhead = 2;

}

void
HeaderList::Iterator::ReadField()
{
  if (m_rest.empty()) {
    return;
  }
  const auto nameEnd = m_rest.find(kNameEnd);
  const auto valueEnd = m_rest.find(kFieldEnd, nameEnd + 1);
  m_field.name = m_rest.substr(0, nameEnd);
  m_field.value = m_rest.substr(nameEnd + 1, valueEnd - nameEnd - 1);
}

HeaderList::Iterator&
HeaderList::Iterator::operator++()
{
  const auto delimiters = std::size_t{ 2 };
  m_rest.remove_prefix(m_field.name.size() + m_field.value.size() + delimiters);
  ReadField();
  return *this;
}

HeaderList::HeaderList(std::initializer_list<HeaderField> aFields)
{
  for (const auto& field : aFields) {
    Add(field.name, field.value);
  }
}

std::size_t
HeaderList::EncodedBytes() const
{
  return m_text.size() + m_size * kEncodingOverhead;
}

std::optional<std::string_view>
HeaderList::Find(std::string_view aName) const
{
  for (const auto& field : *this) {
    if (EqualsIgnoreCase(field.name, aName)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::size_t
HeaderList::CountFields(std::string_view aName) const
{
  std::size_t count = 0;
  for (const auto& field : *this) {
    count += EqualsIgnoreCase(field.name, aName) ? 1 : 0;
  }
  return count;
}

void
HeaderList::Add(std::string_view aName, std::string_view aValue)
{
  const bool isValid = aName.find(kNameEnd) == std::string_view::npos &&
                       aName.find(kFieldEnd) == std::string_view::npos &&
                       aValue.find(kFieldEnd) == std::string_view::npos;
  if (!isValid) {
    throw base::Error(base::ErrorCode::BadValue,
                      "header field: contains a delimiter");
  }
  AppendToName(aName);
  EndName();
  AppendToValue(aValue);
  EndField();
}

void
HeaderList::Clear()
{
  std::string().swap(m_text);
  m_size = 0;
}

void
AppendFields(std::string& aOut, const HeaderList& aFields)
{
  for (const auto& field : aFields) {
    AppendField(aOut, field.name, field.value);
  }
}

}
