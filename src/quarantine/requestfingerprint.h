#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::quarantine {

//! The same for each coming of the same request, under whatever id and at
//! whatever router; a hash, so it tells nothing of what the request holds.
enum class RequestFingerprint : std::uint64_t
{
};

//! What a request is recognised by.
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

//! 16 hexadecimal digits, for logs.
std::string
FingerprintText(RequestFingerprint aFingerprint);

}
