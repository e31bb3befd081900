#include "quarantine/trait.h"

#include "base/basetypes.h"

#include <fmt/format.h>

namespace hemlockgauge::quarantine {

Trait::Trait(RequestFingerprint aRequest)
  : kind(TraitKind::Request)
  , id(base::Raw(aRequest))
{
}

Trait::Trait(PromptPartId aPart)
  : kind(TraitKind::PromptPart)
  , id(base::Raw(aPart))
{
}

std::string
TraitText(const Trait& aTrait)
{
  return aTrait.kind == TraitKind::Request
           ? fmt::format("request:{:016x}", aTrait.id)
           : fmt::format("part:{:x}", aTrait.id);
}

std::string
PartsText(const std::vector<PromptPartId>& aParts)
{
  std::string text;
  for (const auto part : aParts) {
    text += fmt::format("{}{:x}", text.empty() ? "" : ",", base::Raw(part));
  }
  return text;
}

}
