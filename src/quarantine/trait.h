#pragma once

#include "quarantine/requestfingerprint.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace hemlockgauge::quarantine {

//! Id of one part of a prompt. Requests that have the id have that text.
enum class PromptPartId : std::uint64_t
{
};

enum class TraitKind : std::uint8_t
{
  Request,   //!< the whole request
  PromptPart //!< one part of its prompt
};

//! What a request may have in common with others, and what may crash the
//! upstreams that run it.
struct Trait
{
  TraitKind kind = TraitKind::Request;
  std::uint64_t id = 0; //!< unique within the kind

  Trait() = default;
  // Converts implicitly: both ids are traits.
  Trait(RequestFingerprint aRequest); // NOLINT(google-explicit-constructor)
  Trait(PromptPartId aPart);          // NOLINT(google-explicit-constructor)

  bool operator==(const Trait&) const = default;
  bool operator<(const Trait& aOther) const
  {
    return std::tie(kind, id) < std::tie(aOther.kind, aOther.id);
  }
};

//! Returns the trait as "request:ID" or "part:ID" in hexadecimal digits, for
//! logs.
std::string
TraitText(const Trait& aTrait);

//! Returns the ids of the parts in hexadecimal digits, separated by commas.
std::string
PartsText(const std::vector<PromptPartId>& aParts);

}
