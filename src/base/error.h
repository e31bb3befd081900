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
  Refused, //!< connection refused: nothing listens at the address
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

//! Exception thrown by all modules: an error code for the program and a
//! message for people.
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
