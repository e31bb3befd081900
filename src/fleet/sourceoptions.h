#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/sourceselector.h"

#include <optional>
#include <vector>

namespace hemlockgauge::fleet {

//! Input of MakeSourceOptions. All addresses are those that routers accept
//! reports at.
struct SourceContext
{
  base::Address self;
  std::uint32_t hash = 0; //!< distributes routers over equivalent sources
  std::vector<base::Address> seeds; //!< without this router
  bool isSeed = false;
  Duration sinceStart{}; //!< time since this router started
  //! How long a starting router waits for the first sign of a source before it
  //! tries the next one.
  Duration seedWait = Duration(0);
  //! Time since the store last confirmed this router's data.
  Duration proofAge{};
  //! The reader of the store with the newest proof in the reports of others, if
  //! that proof is newer than this router's own by at least kMinProofAdvantage.
  std::optional<base::Address> freshestReader;
};

//! The reader of the store with the newest proof that this router knows of. All
//! routers include it in their reports, so that a router whose source is cut
//! off from the store finds another one without trying all of them.
class FreshestReader
{
public:
  //! Keeps aReader if its proof is newer than that of the kept reader.
  void Update(const base::Address& aReader, TimePoint aProvenAt);
  //! Returns the reader, or no value if its proof is older than
  //! kMaxSourceProofAge.
  std::optional<base::Address> Reader(TimePoint aNow) const;
  //! Like Reader(), but only if the proof is newer than aOwn by at least
  //! kMinProofAdvantage.
  std::optional<base::Address> ReaderFresherThan(TimePoint aOwn,
                                                 TimePoint aNow) const;
  Duration ProofAge(TimePoint aNow) const { return aNow - m_provenAt; }

private:
  base::Address m_reader;
  TimePoint m_provenAt{ TimePoint::min() / 2 };
};

//! Returns the sources from which this router may get the contents of the
//! store, the best one first.
//!
//! Each call to the store has a cost. In a small fleet, every router reads the
//! store. In a large one, kStoreReaders routers do; hubs get their data from
//! these, and all other routers from the hubs of their group.
//!
//! If all routers start at once, the seeds list the store, hubs get the list
//! from the seeds, and all others from their hubs once they know them:
//! otherwise the store would be listed once per router, or three seeds would
//! send the list to the whole fleet. A router keeps to these sources until it
//! has the list.
//! The seeds go on reading the store for a while: the readers of the plan have
//! to list it first, and while routers know different parts of the fleet they
//! do not agree on the readers.
//!
//! If all readers are cut off from
//! the store, the other routers turn to it one after another, by their rank and
//! the age of their proof. This needs no messages between them.
SourceOptions
MakeSourceOptions(const SourceContext& aView, const ExchangePlan& aPlan);

}
