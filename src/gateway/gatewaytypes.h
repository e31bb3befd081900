#pragma once

#include "base/address.h"
#include "base/enumnames.h"
#include "base/verdict.h"
#include "fleet/fleettypes.h"
#include "fleet/statedload.h"
#include "http/httptypes.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hemlockgauge::gateway {

using base::Duration;
using base::TimePoint;

//! A caller's request as decoded from its head, with its body.
struct CallerRequest
{
  std::string id; //!< set by the caller, new for each of its attempts
  std::string method;
  std::string target; //!< path and query, forwarded unchanged
  std::string host;
  std::string apiKey;               //!< never logged or forwarded
  std::optional<Duration> deadline; //!< how long the caller waits
  //! Id of the last stream event that the caller received from an earlier
  //! attempt.
  std::optional<std::string> lastEventId;
  //! Id of the caller's attempt that brought the first event of the stream that
  //! this request resumes; empty if not given.
  std::string resumedRequestId;
  fleet::Work work;
  //! Header fields forwarded unchanged: without hop-by-hop fields and those
  //! that the router sets.
  http::HeaderList forwardedHeaders;
  std::string body;
  bool hasBody = false;

  //! Memory that it takes beyond this object, in bytes.
  std::size_t HeldBytes() const
  {
    return id.capacity() + method.capacity() + target.capacity() +
           host.capacity() + apiKey.capacity() + resumedRequestId.capacity() +
           (lastEventId ? lastEventId->capacity() : 0) +
           work.prompt.capacity() * sizeof(fleet::PromptPart) +
           forwardedHeaders.HeldBytes() + body.capacity();
  }

  std::string_view Path() const
  {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

//! What the router adds to a request that it forwards to an upstream.
struct SendContext
{
  std::string upstreamId; //!< another upstream at this address rejects it
  std::string workspace;  //!< empty if the route is public
  Duration timeLeft{};    //!< the upstream stops working after this time
  //! An upstream to copy the cached prompt prefix from; port 0 if none.
  base::Address copyFrom;
  //! Id of the event after which the upstream resumes the stream.
  std::optional<std::string> lastEventId;
};

//! An upstream's response as decoded from its head.
struct UpstreamResponse
{
  int status = 0;
  std::string reason;
  std::string requestId;    //!< request that it answers; empty if not given
  bool notRun = false;      //!< the upstream states that it ran nothing
  bool misdirected = false; //!< a different upstream has this address
  bool hasResponseSeal =
    false; //!< has the seal that a successful response needs
  bool isEventStream = false;
  bool hasContentEncoding =
    false;                //!< has a Content-Encoding, which no upstream sets
  Duration keepAlive{};   //!< idle time of the connection; 0 if not given
  bool isLeaving = false; //!< the upstream will end and wants no more requests
  //! Of a refusal: the upstream wants no requests from this router for so long;
  //! 0 if not given.
  Duration retryAfter{};
  //! Load of the upstream; empty if not stated or malformed.
  std::optional<fleet::StatedLoad> load;
  //! The stated load as received, if it is malformed.
  std::optional<std::string> malformedLoad;
  http::HeaderList forwardedHeaders; //!< forwarded unchanged

  //! Memory that it takes beyond this object, in bytes.
  std::size_t HeldBytes() const
  {
    return reason.capacity() + requestId.capacity() +
           forwardedHeaders.HeldBytes();
  }
  //! Whether the request ran nowhere and may be sent to another upstream.
  bool IsRefusal() const { return notRun || misdirected; }
  bool IsSuccess() const { return status >= 200 && status < 300; }
};

//! Why the router answers a request itself instead of forwarding a response.
enum class Refusal : std::uint8_t
{
  BadRequest,
  HeadTooLarge,
  BodyTooLarge,
  SlowRequest,
  NoRoom, //!< it does not fit beside what the router buffers now
  NoSuchRoute,
  UnknownKey,
  NoConfig,      //!< no configuration has been received yet
  StaleConfig,   //!< known API keys may have been withdrawn
  Overload,      //!< could not be served within its target latency
  NoUpstream,    //!< no upstream of the service may receive requests
  Quarantined,   //!< the request is suspected to crash upstreams
  UnknownStream, //!< the version that began the resumed stream is not known
  Draining,      //!< the router is stopping
  Timeout,       //!< the request's deadline or route timeout passed
  UpstreamFailed //!< every attempt failed, and some may have run
};
inline constexpr auto kRefusalNames =
  base::MakeEnumNames<Refusal>("bad-request",
                               "head-too-large",
                               "body-too-large",
                               "slow-request",
                               "no-room",
                               "no-such-route",
                               "unknown-key",
                               "no-config",
                               "stale-config",
                               "overload",
                               "no-upstream",
                               "quarantined",
                               "unknown-stream",
                               "draining",
                               "timeout",
                               "upstream-failed");

//! How a router knows which version began a stream that is to be resumed.
enum class StreamSource : std::uint8_t
{
  Here,        //!< it has the stream's record, its own or a copy
  OtherRouter, //!< another router told it
  OnlyVersion, //!< there was no other version when the stream began
  Unknown,     //!< all routers that were asked don't know the stream
  Unanswered,  //!< some of them did not answer
  NotNamed     //!< the request does not name the stream
};
inline constexpr auto kStreamSourceNames =
  base::MakeEnumNames<StreamSource>("here",
                                    "other-router",
                                    "only-version",
                                    "unknown",
                                    "unanswered",
                                    "not-named");

//! A response that the router generates itself.
struct LocalReply
{
  Refusal refusal = Refusal::BadRequest;
  base::Verdict verdict = base::Verdict::NotRun;
  Duration retryAfter{}; //!< 0 if not given
  std::string requestId;
};

}
