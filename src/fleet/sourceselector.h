#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

#include <optional>
#include <vector>

namespace hemlockgauge::fleet {

//! Kind of the source from which a router gets the contents of the store.
enum class SourceKind : std::uint8_t
{
  Store, //!< the platform's store itself
  Router //!< another router, which passes on its copy
};
inline constexpr auto kSourceKindNames =
  base::MakeEnumNames<SourceKind>("store", "router");

//! A source from which a router gets the contents of the platform's store.
struct StoreSource
{
  SourceKind kind = SourceKind::Store;
  base::Address address; //!< of the router; unused for the store

  bool operator==(const StoreSource&) const = default;
};

//! The sources that a router may use at present.
struct SourceOptions
{
  //! Sources in order of preference; never empty.
  std::vector<StoreSource> order{ StoreSource{} };
  //! No other router has a recent proof, and it is this router's turn to read
  //! the store itself.
  bool shouldTakeOver = false;
  //! Index in order of the source that is known to have a newer proof.
  std::optional<std::size_t> fresherIndex;
  //! Timeout for the first answer of a router, instead of kRouterTimeout.
  //! Without a value, kRouterTimeout applies.
  std::optional<Duration> firstAnswerTimeout;
};

//! Selects the source from which this router gets the contents of the store. If
//! the current source fails, the policy moves on to the next one, and returns
//! to the first after kSourceRetryInterval. A router that takes over reads the
//! store for a while whatever the order of the sources is.
class SourceSelector
{
public:
  SourceSelector();

  //! Sets the permitted sources. Changes the current source if it isn't among
  //! them or is no longer the preferred one.
  void SetOptions(const SourceOptions& aOptions, TimePoint aNow);
  //! Records an answer of the current source with data that the store confirmed
  //! aProofAge ago.
  void Answered(Duration aProofAge, TimePoint aNow);
  //! Records that the current source is reachable and its first answer is still
  //! to come.
  void Pending(TimePoint aNow);
  //! Whether the current source said lately that an answer is to come, so that
  //! this router's followers can wait, too.
  bool IsPending(TimePoint aNow) const;
  //! Checks timeouts and proof ages. Returns true if the source has changed.
  bool Tick(TimePoint aNow);
  const StoreSource& Current() const { return m_current; }
  //! Whether the current source is the first in the order and was not selected
  //! by a takeover.
  bool IsPreferred() const { return !m_hasTakenOver && m_index == 0; }

private:
  void SelectSource(std::size_t aIndex, TimePoint aNow);
  void TakeOver(TimePoint aNow);
  void StartUsing(const StoreSource& aSource, TimePoint aNow);
  void MoveOn(TimePoint aNow);
  //! Whether the current source has not answered within its timeout.
  bool IsSilent(TimePoint aNow) const;
  //! Whether the last proof of the current source is older than
  //! kMaxSourceProofAge.
  bool IsStale(TimePoint aNow) const;
  //! Whether to change to the source that is known to have a newer proof.
  bool ShouldUseFresherSource(TimePoint aNow) const;

  SourceOptions m_options;
  bool m_hasStarted = false;
  StoreSource m_current;
  std::size_t m_index = 0;
  bool m_hasTakenOver = false; //!< reads the store out of order
  //! Whether the store gave a recent proof after the last takeover.
  bool m_takeoverSucceeded = false;
  TimePoint m_mayTakeOverAt{}; //!< end of the backoff after a failed takeover
  TimePoint m_selectedAt{};    //!< when the current source was selected
  TimePoint m_answeredAt{};    //!< last sign of the source, or m_selectedAt
  bool m_isPending = false;    //!< the source said that an answer is to come
  //! Proof age in the last answer; no value before the first one.
  std::optional<Duration> m_proofAge;
  //! Minimum time to keep a source whose proof is too old. Doubles with each
  //! move to another source up to kMaxSourceDwell, and is reset by a recent
  //! proof.
  Duration m_minDwell;
};

}
