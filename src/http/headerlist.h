#pragma once

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockgauge::http {

//! A header field. Valid as long as its list is not changed.
struct HeaderField
{
  std::string_view name;
  std::string_view value;
};

//! Header fields in the order received. Names are case-insensitive. The fields
//! are stored in one text, so that a list takes no more memory than the bytes
//! that it was read from, however short its fields are.
class HeaderList
{
public:
  class Iterator
  {
  public:
    using iterator_category = std::input_iterator_tag;
    using value_type = HeaderField;
    using difference_type = std::ptrdiff_t;
    using pointer = const HeaderField*;
    using reference = const HeaderField&;

    //! aRest: the fields from this position on.
    explicit Iterator(std::string_view aRest)
      : m_rest(aRest)
    {
      ReadField();
    }
    const HeaderField& operator*() const { return m_field; }
    const HeaderField* operator->() const { return &m_field; }
    Iterator& operator++();
    bool operator==(const Iterator& aOther) const
    {
      return m_rest.size() == aOther.m_rest.size();
    }

  private:
    void ReadField();

    std::string_view m_rest;
    HeaderField m_field;
  };

  HeaderList() = default;
  HeaderList(std::initializer_list<HeaderField> aFields);

  // Range-based for needs these names.
  Iterator begin() const // NOLINT(readability-identifier-naming)
  {
    return Iterator(m_text);
  }
  Iterator end() const // NOLINT(readability-identifier-naming)
  {
    return Iterator(std::string_view(m_text).substr(m_text.size()));
  }
  //! Number of fields.
  std::size_t Size() const { return m_size; }
  bool IsEmpty() const { return m_size == 0; }
  //! Memory that the fields take, in bytes.
  std::size_t HeldBytes() const { return m_text.capacity(); }
  //! Bytes of all fields as AppendFields writes them.
  std::size_t EncodedBytes() const;

  //! The value of the first field with this name; empty if there is none.
  std::optional<std::string_view> Find(std::string_view aName) const;
  std::size_t CountFields(std::string_view aName) const;

  //! Throws Error(BadValue) if the name or the value has a character that
  //! delimits fields.
  void Add(std::string_view aName, std::string_view aValue);
  //! Removes the fields for which aShouldRemove(HeaderField) is true, and frees
  //! their memory.
  template<typename Predicate>
  void RemoveIf(const Predicate& aShouldRemove);
  void Clear();

  // For readers of heads, which get names and values in pieces. Names must not
  // contain ':', and neither names nor values LF.
  void AppendToName(std::string_view aBytes) { m_text += aBytes; }
  void EndName() { m_text += kNameEnd; }
  void AppendToValue(std::string_view aBytes) { m_text += aBytes; }
  void EndField()
  {
    m_text += kFieldEnd;
    m_size++;
  }

private:
  static constexpr char kNameEnd = ':';
  static constexpr char kFieldEnd = '\n';

  std::string m_text; //!< "NAME:VALUE\n" for each field
  std::size_t m_size = 0;
};

template<typename Predicate>
void
HeaderList::RemoveIf(const Predicate& aShouldRemove)
{
  std::string kept;
  kept.reserve(m_text.size());
  m_size = 0;
  for (const auto& field : *this) {
    if (!aShouldRemove(field)) {
      kept += field.name;
      kept += kNameEnd;
      kept += field.value;
      kept += kFieldEnd;
      m_size++;
    }
  }
  kept.shrink_to_fit();
  m_text = std::move(kept);
}

//! Appends "NAME: VALUE\r\n" for each field.
void
AppendFields(std::string& aOut, const HeaderList& aFields);

}
