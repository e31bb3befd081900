#include "fleet/prefixcopy.h"

#include "fleet/fleetconstants.h"

#include <tuple>

namespace hemlockgauge::fleet {

namespace {

constexpr double kBitsPerByte = 8.0;
constexpr double kBitsPerMsPerMbps = 1000.0;

}

double
CopyDurationMs(const Service& aService, double aTokens)
{
  const double bits = aTokens * aService.kvBytesPerToken * kBitsPerByte;
  return kCopySetupMs + bits / (aService.copyMbps * kBitsPerMsPerMbps);
}

std::optional<PrefixCopy>
ChooseCopySource(const Service& aService,
                 const std::vector<PrefixHolder>& aHolders,
                 const CopyRecipient& aReader,
                 std::uint64_t aKey)
{
  if (!aService.CanCopy()) {
    return std::nullopt;
  }
  const auto rank = [&](const PrefixHolder& aHolder) {
    const auto tieBreaker =
      base::HashPair(static_cast<std::uint32_t>(aKey ^ (aKey >> 32)),
                     base::Raw(aHolder.upstream));
    return std::make_tuple(
      aHolder.heldTokens, aHolder.zone == aReader.zone, tieBreaker);
  };
  const PrefixHolder* best = nullptr;
  for (const auto& holder : aHolders) {
    if (holder.upstream == aReader.upstream ||
        !FitTogether(holder.version, aReader.version)) {
      continue;
    }
    if (best == nullptr || rank(holder) > rank(*best)) {
      best = &holder;
    }
  }
  if (best == nullptr || best->heldTokens < aReader.heldTokens) {
    return std::nullopt;
  }
  const double tokens = best->heldTokens - aReader.heldTokens;
  if (tokens <= 0) {
    return PrefixCopy{ best->upstream, 0, 0 };
  }
  const double durationMs = CopyDurationMs(aService, tokens);
  if (durationMs > kMaxCopyCostRatio * tokens / aReader.tokensPerMs) {
    return std::nullopt;
  }
  return PrefixCopy{ best->upstream, tokens, durationMs };
}

}
