#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/sourcepolicy.h"

#include <optional>
#include <vector>

namespace hemlockgauge::fleet {

//! What decides where a router may learn of the store. All addresses are
//! those for reports.
struct SourceView
{
  base::Address self;
  std::uint32_t hash = 0;           //!< spreads routers over equal sources
  std::vector<base::Address> seeds; //!< without this router
  bool isSeed = false;
  Duration sinceStart{};
  Duration seedWait = Duration(0); //!< until a start turns to the store
  //! Since all that this router knows of the store was last proven.
  Duration proofAge{};
  //! The freshest reader that others tell of, if its proof is newer than this
  //! router's own by kProofBetter.
  std::optional<base::Address> knownReader;
};

//! The freshest reader of the store that a router knows of. All tell it in
//! their reports, so that whoever's source is cut off finds one that is not
//! without asking around.
class KnownReader
{
public:
  void Learn(const base::Address& aReader, TimePoint aProvenAt);
  //! Nothing if none was proven within kSourceStale.
  std::optional<base::Address> Best(TimePoint aNow) const;
  //! The same, if that is newer than aOwn by kProofBetter.
  std::optional<base::Address> Better(TimePoint aOwn, TimePoint aNow) const;
  Duration ProofAge(TimePoint aNow) const { return aNow - m_provenAt; }

private:
  base::Address m_reader;
  TimePoint m_provenAt{ TimePoint::min() / 2 };
};

//! Where this router learns of the store, the best first.
//!
//! The store counts each call. In a small fleet every router reads it. In a
//! large one kStoreReaders do; hubs follow these, the others follow their hubs.
//! Whoever starts knows no one but the seeds and asks them, so that a fleet
//! which starts at once does not list the store once a router. If the readers
//! are cut off from the store the others turn to it one after another, by
//! their order and the age of their proof, which needs no message.
SourceOptions
MakeSourceOptions(const SourceView& aView, const ExchangePlan& aPlan);

}
