#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

#include <optional>
#include <vector>

namespace hemlockgauge::fleet {

enum class SourceKind : std::uint8_t
{
  Store, //!< the platform's store itself
  Router //!< another router's news of it
};
inline constexpr auto kSourceKindNames =
  base::MakeEnumNames<SourceKind>("store", "router");

//! Where a router learns what the store holds.
struct NewsSource
{
  SourceKind kind = SourceKind::Store;
  base::Address address; //!< of the router

  bool operator==(const NewsSource&) const = default;
};

//! The sources that a router may have now.
struct SourceOptions
{
  std::vector<NewsSource> order{ NewsSource{} }; //!< never empty
  //! No router proves what it tells: this one turns to the store itself.
  bool takesOver = false;
  //! The source that is known to have a newer proof, by its place in the order.
  std::optional<std::size_t> known;
  //! How long a source has for its first answer; nothing: as for any other.
  std::optional<Duration> patience;
};

//! Chooses where to learn from. Whoever is cut off from its source goes on to
//! the next, and returns to the first later; whoever takes over reads the
//! store for a while, whatever the order is.
class SourcePolicy
{
public:
  SourcePolicy();

  void SetOptions(const SourceOptions& aOptions, TimePoint aNow);
  //! The source answered; what it told was proven aProofAge ago.
  void Answered(Duration aProofAge, TimePoint aNow);
  //! The source is there, and its first answer is on the way.
  void Pending(TimePoint aNow);
  //! Returns true if the source has changed.
  bool Tick(TimePoint aNow);
  const NewsSource& Current() const { return m_current; }
  bool IsPreferred() const { return !m_hasTakenOver && m_index == 0; }

private:
  void Use(std::size_t aIndex, TimePoint aNow);
  void TakeOver(TimePoint aNow);
  void Begin(const NewsSource& aSource, TimePoint aNow);
  void Move(TimePoint aNow);
  bool IsSilent(TimePoint aNow) const;
  bool IsStale(TimePoint aNow) const;
  bool IsBehindKnown(TimePoint aNow) const;

  SourceOptions m_options;
  bool m_hasBegun = false;
  NewsSource m_current;
  std::size_t m_index = 0;
  bool m_hasTakenOver = false; //!< reads the store for all
  bool m_readWell = false;     //!< the store answered when it did so last
  TimePoint m_mayTakeOverAt{}; //!< not again at once where it failed
  TimePoint m_usedSince{};
  TimePoint m_answeredAt{};
  bool m_isPending = false;           //!< has said so
  std::optional<Duration> m_proofAge; //!< nothing: has not answered yet
  Duration m_dwell;
};

}
