#include "soak/upstreamfaultchooser.h"

#include "base/hash.h"
#include "soak/crashingcaller.h"

#include <array>
#include <random>

namespace hemlockgauge::soak {

using standins::UpstreamFault;

namespace {

//! An upstream misbehaves on one in this many requests.
constexpr std::uint64_t kMisbehaveOneIn = 25;
//! One in this many responses has no end, if there are any.
constexpr std::uint64_t kEndlessOneIn = 12;
//! An upstream that asks for pauses refuses one in this many requests.
constexpr std::uint64_t kRefuseOneIn = 8;
//! One in this many responses is spoiled, if there are any.
constexpr std::uint64_t kSpoilOneIn = 12;
constexpr std::uint64_t kMaxSpoilPosition = 21;
//! Most responses are shorter: some of those that are cut are whole.
constexpr std::uint64_t kMaxCutOfStream = 1400;
constexpr std::uint64_t kMaxCutOfBody = 400;

constexpr std::array kSpoilsOfStreams{
  UpstreamFault::Spoiled,       UpstreamFault::Spoiled,
  UpstreamFault::OtherType,     UpstreamFault::NoEvents,
  UpstreamFault::EmptyNoLength, UpstreamFault::CutShort
};
constexpr std::array kSpoilsOfBodies{ UpstreamFault::EmptyNoLength,
                                      UpstreamFault::CutShort };

UpstreamFault
ChooseEndless(std::uint64_t aDraw)
{
  constexpr auto kFirst =
    static_cast<std::uint32_t>(UpstreamFault::EndlessHead);
  constexpr auto kCount =
    static_cast<std::uint32_t>(UpstreamFault::EndlessForeign) + 1 - kFirst;
  return static_cast<UpstreamFault>(kFirst + aDraw % kCount);
}

UpstreamFault
ChooseMisbehaviour(std::uint64_t aDraw)
{
  constexpr auto kLast = static_cast<std::uint32_t>(UpstreamFault::Rubbish);
  return static_cast<UpstreamFault>(1 + aDraw % kLast);
}

ChosenFault
ChooseSpoil(bool aIsEngine, std::mt19937_64& aRandom)
{
  ChosenFault chosen;
  if (!aIsEngine) {
    chosen.fault = kSpoilsOfBodies.at(aRandom() % kSpoilsOfBodies.size());
    chosen.cut = aRandom() % kMaxCutOfBody;
    return chosen;
  }
  chosen.fault = kSpoilsOfStreams.at(aRandom() % kSpoilsOfStreams.size());
  chosen.cut = aRandom() % kMaxCutOfStream;
  chosen.spoil.kind = static_cast<standins::SpoiledEvent>(
    aRandom() % standins::kSpoiledEventCount);
  chosen.spoil.before = 1 + static_cast<int>(aRandom() % kMaxSpoilPosition);
  chosen.spoil.joinsEvent = aRandom() % 2 == 0;
  chosen.spoil.atOnce = aRandom() % 2 == 0;
  return chosen;
}

}

ChosenFault
UpstreamFaultChooser::Choose(const FaultTarget& aTarget,
                             const standins::UpstreamRun& aRun,
                             base::Duration aSinceStart) const
{
  if (CrashingCaller::CauseOf(aRun.target)) {
    return { aTarget.mayCrash ? UpstreamFault::Crash
                              : UpstreamFault::CloseUnanswered,
             {},
             0 };
  }
  const auto draw =
    base::HashName(aRun.requestId + aRun.lastEventId) + m_settings.seed;
  if (aTarget.asksForPauses && draw % kRefuseOneIn == 0) {
    return { UpstreamFault::Shed, {}, 0 };
  }
  const bool injectsFaults = aSinceStart < m_settings.length;
  if (m_settings.hasEndlessResponses && injectsFaults &&
      draw % kEndlessOneIn == 0) {
    return { ChooseEndless(draw / kEndlessOneIn), {}, 0 };
  }
  if (m_settings.hasSpoiledResponses && injectsFaults) {
    // Another upstream may serve a retry rightly.
    std::mt19937_64 random(draw ^ base::HashName(aTarget.id));
    if (aTarget.spoilsAll || random() % kSpoilOneIn == 0) {
      return ChooseSpoil(aTarget.isEngine, random);
    }
  }
  if (draw % kMisbehaveOneIn != 0) {
    return {};
  }
  return { ChooseMisbehaviour(draw / kMisbehaveOneIn), {}, 0 };
}

}
