#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hemlockgauge::base {

//! Maps the values of an enum class to names and back. The values must be
//! consecutive and start at 0.
template<typename Enum, std::size_t Count>
class EnumNames
{
public:
  constexpr explicit EnumNames(
    const std::array<std::string_view, Count>& aNames)
    : m_names(aNames)
  {
  }

  constexpr std::string_view NameOf(Enum aValue) const
  {
    const auto index = static_cast<std::size_t>(aValue);
    return index < Count ? m_names[index] : std::string_view("unknown");
  }

  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    for (std::size_t i = 0; i < Count; ++i) {
      if (m_names[i] == aName) {
        return static_cast<Enum>(i);
      }
    }
    return std::nullopt;
  }

private:
  std::array<std::string_view, Count> m_names;
};

template<typename Enum, typename... Names>
constexpr auto
MakeEnumNames(Names... aNames)
{
  return EnumNames<Enum, sizeof...(Names)>(
    std::array<std::string_view, sizeof...(Names)>{ aNames... });
}

}
