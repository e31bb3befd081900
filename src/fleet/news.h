#pragma once

#include "fleet/evacuations.h"
#include "fleet/fleettypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! What a router asks of another about the platform's store.
struct NewsAsk
{
  std::uint64_t life = 0;     //!< of the news that the asker has; 0: none
  std::uint64_t sequence = 0; //!< up to here
  std::uint64_t configVersion = 0;
  //! Of the upstreams that the asker knows, see NewsLog; 0: not told.
  std::uint64_t digest = 0;
};

enum class NewsState : std::uint8_t
{
  Proven,
  Unproven, //!< the proof follows with the answer to the next question
  Pending   //!< nothing yet: the router is reading the store
};

//! What has changed in the store, as the router asked knows it.
struct News
{
  NewsState state = NewsState::Proven;
  std::uint64_t life = 0; //!< of the router that answers
  std::uint64_t sequence = 0;
  bool full = false;   //!< upstreams are all that there are
  Duration proofAge{}; //!< since the store proved all this
  Duration waited{};   //!< from the question to this answer
  std::string config;  //!< as the store holds it; empty: nothing newer
  std::vector<UpstreamEntry> upstreams;
  std::vector<std::string> removed;
  //! All that are in force; nothing: not told.
  std::optional<std::vector<Evacuation>> evacuations;
};

}
