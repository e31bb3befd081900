#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::quarantine {

//! Hash that is equal for all copies of a request, whatever their request id
//! and the router that gets them. It doesn't reveal the contents of the
//! request.
enum class RequestFingerprint : std::uint64_t
{
};

//! The parts of a request that its fingerprint is computed from.
struct RequestIdentity
{
  std::string_view workspace; //!< empty: the route is public
  std::string_view method;
  std::string_view host;
  std::string_view target; //!< path and query
  std::string_view body;
};

RequestFingerprint
FingerprintOf(const RequestIdentity& aIdentity);

//! Returns the fingerprint as 16 hexadecimal digits, for logs.
std::string
FingerprintText(RequestFingerprint aFingerprint);

}
