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

//! The encoded configuration, as the platform's store holds it.
struct StoredConfig
{
  std::string bytes;
};

//! An upstream's entry in the store.
struct StoredUpstream
{
  fleet::UpstreamEntry entry;
  std::string why; //!< why it can't be used; empty if it can
};

//! An upstream whose entry was deleted.
struct RemovedUpstream
{
  std::string id;
};

//! An availability zone that was put under evacuation.
struct EvacuatedZone
{
  fleet::Evacuation evacuation;
};

//! An availability zone whose evacuation ended.
struct RestoredZone
{
  std::string zone;
};

//! An item that a router doesn't use or can't read; why holds the reason.
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

//! One page of a listing, or the changes that a watch returned.
struct StorePage
{
  std::vector<StoreItem> items;
  std::uint64_t revision = 0; //!< of the store when it answered
  bool hasMore = false;
  std::string lastKey; //!< the next page begins after this key
};

//! Encodes requests to the platform's store and decodes its responses. The
//! decoding functions throw Error(BadSyntax) if a response can't be parsed.
class IStoreCodec
{
public:
  virtual ~IStoreCodec() = default;

  //! Request for the page of the listing that follows aAfterKey.
  virtual std::string EncodeList(const std::string& aAfterKey) const = 0;
  //! Long-poll request for changes after aAfterRevision. The store answers
  //! after aWait at the latest.
  virtual std::string EncodeWatch(std::uint64_t aAfterRevision,
                                  base::Duration aWait) const = 0;
  virtual StorePage DecodeList(std::string_view aBody) const = 0;
  virtual StorePage DecodeWatch(std::string_view aBody) const = 0;
  //! Era of the store that answered, see fleet::StoreEra; empty if the response
  //! has none.
  virtual std::optional<std::uint64_t> DecodeEra(
    const http::HeaderList& aHeaders) const = 0;
  //! Throws Error(BadValue) that names the invalid field.
  virtual fleet::ConfigPtr DecodeConfig(std::string_view aBytes) const = 0;
};

}
