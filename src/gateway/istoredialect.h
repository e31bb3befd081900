#pragma once

#include "fleet/evacuations.h"
#include "fleet/fleettypes.h"
#include "http/httptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlockgauge::gateway {

//! The configuration's bytes as the platform's store holds them.
struct StoredConfig
{
  std::string bytes;
};

struct StoredUpstream
{
  fleet::UpstreamEntry entry;
  std::string why; //!< it isn't usable; empty: it is
};

struct RemovedUpstream
{
  std::string id;
};

struct EvacuatedZone
{
  fleet::Evacuation evacuation;
};

struct RestoredZone
{
  std::string zone;
};

//! Something of no use to a router, or that can't be read (why says so).
struct IgnoredItem
{
  std::string key;
  std::string why;
};

using StoreItem = std::variant<StoredConfig,
                               StoredUpstream,
                               RemovedUpstream,
                               EvacuatedZone,
                               RestoredZone,
                               IgnoredItem>;

//! A page of a listing, or the events of a watch.
struct StorePage
{
  std::vector<StoreItem> items;
  std::uint64_t revision = 0; //!< of the store, when it answered
  bool hasMore = false;
  std::string lastKey; //!< where the next page begins
};

//! How the platform's store is asked and answers. Throws Error(BadSyntax)
//! where an answer can't be read.
class IStoreDialect
{
public:
  virtual ~IStoreDialect() = default;

  virtual std::string EncodeList(const std::string& aAfterKey) const = 0;
  virtual std::string EncodeWatch(std::uint64_t aAfterRevision,
                                  base::Duration aWait) const = 0;
  virtual StorePage DecodeList(std::string_view aBody) const = 0;
  virtual StorePage DecodeWatch(std::string_view aBody) const = 0;
  //! Which copy of the store answered: see fleet::StoreEra. Nothing if the
  //! answer doesn't say.
  virtual std::optional<std::uint64_t> DecodeEra(
    const http::HeaderList& aHeaders) const = 0;
  //! Throws Error(BadValue) naming what is wrong.
  virtual fleet::ConfigPtr DecodeConfig(std::string_view aBytes) const = 0;
};

}
