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

//! Chooses where to learn from. The store counts every call, so in a large
//! fleet only hubs read it and the others follow a hub; whoever is cut off
//! from its source goes on to the next, and returns to the first later.
class SourcePolicy
{
public:
  //! In order of preference; never empty.
  void SetOptions(const std::vector<NewsSource>& aOptions, TimePoint aNow);
  //! The source answered; what it told was proven aProofAge ago.
  void Answered(Duration aProofAge, TimePoint aNow);
  //! Returns true if the source has changed.
  bool Tick(TimePoint aNow);
  const NewsSource& Current() const { return m_current; }
  bool IsPreferred() const { return m_index == 0; }

private:
  void Use(std::size_t aIndex, TimePoint aNow);

  std::vector<NewsSource> m_options{ NewsSource{} };
  NewsSource m_current;
  std::size_t m_index = 0;
  TimePoint m_usedSince{};
  TimePoint m_answeredAt{};
  std::optional<Duration> m_proofAge;
};

}
