#pragma once

#include "base/basetypes.h"
#include "fleet/streamtypes.h"

#include <optional>
#include <string>

namespace hemlockgauge::gateway {

//! Waits for the version that began a stream.
class IStreamVersionReader
{
public:
  virtual ~IStreamVersionReader() = default;

  virtual void OnStreamVersion(const fleet::StreamLookupResult& aResult) = 0;
};

//! The versions that began the streams of all routers' callers.
class IStreamVersions
{
public:
  virtual ~IStreamVersions() = default;

  //! Records the version that generated the first event that the caller gets of
  //! a stream, or of its continuation. aOrigin: id of the request that began
  //! the stream. aLifetime: how long the stream may be resumed.
  virtual void RecordBegin(const std::string& aOrigin,
                           fleet::VersionId aVersion,
                           base::Duration aLifetime) = 0;
  //! Returns the record of a stream if this router has it.
  virtual std::optional<fleet::StreamRecord> Find(
    const std::string& aOrigin) const = 0;
  //! Asks other routers; aReader is called with the result unless Cancel is
  //! called before.
  virtual void Ask(const std::string& aOrigin,
                   IStreamVersionReader& aReader) = 0;
  virtual void Cancel(IStreamVersionReader& aReader) = 0;
};

}
