#pragma once

#include "base/enumnames.h"

#include <stdexcept>
#include <string>

namespace hemlockgauge::base {

enum class ErrorCode
{
  BadSyntax,
  UnknownKey,
  MissingKey,
  DuplicateKey,
  BadValue,
  BadFrame,
  Unreachable,
  Refused, //!< nothing listens there
  Internal
};

inline constexpr auto kErrorCodeNames =
  MakeEnumNames<ErrorCode>("bad-syntax",
                           "unknown-key",
                           "missing-key",
                           "duplicate-key",
                           "bad-value",
                           "bad-frame",
                           "unreachable",
                           "refused",
                           "internal");

//! The exception of every module: a typed code and a text for people.
class Error : public std::runtime_error
{
public:
  Error(ErrorCode aCode, const std::string& aText)
    : std::runtime_error(aText)
    , m_code(aCode)
  {
  }

  ErrorCode Code() const { return m_code; }

private:
  ErrorCode m_code;
};

}
