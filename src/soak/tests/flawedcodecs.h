#pragma once

#include "base/enumnames.h"
#include "gateway/icallercodec.h"
#include "gateway/istorecodec.h"
#include "gateway/iupstreamcodec.h"

#include <unordered_map>

namespace hemlockgauge::soak {

//! Deliberate flaws of a test router. Each violates one guarantee, and the
//! soak test must detect it.
enum class Flaw : std::uint8_t
{
  ReusesIds,             //!< some requests carry the id of the previous one
  FalseNotRun,           //!< reports "not run" for requests that may have run
  RetriesNonIdempotent,  //!< retries non-idempotent requests too
  WrongWorkspace,        //!< sends another workspace to upstreams
  IgnoresDraining,       //!< sends requests to draining and removed upstreams
  KeepsRevokedKeys,      //!< accepts revoked keys
  StopsWithoutDrain,     //!< does not drain in a planned stop
  RejectsStorePages,     //!< rejects responses of the store after a while
  IgnoresRepetition,     //!< does not recognise a repeated request
  IgnoresEvacuations,    //!< sends requests to evacuated zones
  IgnoresColdState,      //!< sends the full load to cold upstreams
  IgnoresLeavingAnswers, //!< learns from the store alone who leaves
  IgnoresRetryAfter,     //!< of upstreams' refusals
  IgnoresVersions,       //!< of the upstreams' software
  ForgetsStreams,        //!< does not know which streams requests resume
  IgnoresPromptParts,    //!< takes each part of a prompt for a new one
  StreamsUnread,         //!< forwards streams without looking at their events
  IgnoresContentType,    //!< takes every body for an event stream
  RejectsOddEntries      //!< rejects what the store sends with odd entries
};
inline constexpr auto kFlawNames =
  base::MakeEnumNames<Flaw>("crossed-ids",
                            "false-not-run",
                            "repeats-all",
                            "wrong-fields",
                            "keeps-leaving",
                            "keeps-old-keys",
                            "stops-at-once",
                            "loses-the-store",
                            "takes-all-for-new",
                            "misses-evacuations",
                            "takes-cold-for-warm",
                            "misses-leaving-answers",
                            "misses-retry-after",
                            "joins-versions",
                            "forgets-streams",
                            "takes-parts-for-new",
                            "leaves-streams-unread",
                            "takes-any-type",
                            "chokes-on-odd-entries");

class FlawedCallerCodec : public gateway::ICallerCodec
{
public:
  FlawedCallerCodec(Flaw aFlaw, const gateway::ICallerCodec& aDelegate)
    : m_flaw(aFlaw)
    , m_delegate(aDelegate)
  {
  }

  gateway::CallerRequest Decode(http::RequestHead&& aHead) const override;
  std::string EncodeHead(
    const gateway::UpstreamResponse& aAnswer) const override
  {
    return m_delegate.EncodeHead(aAnswer);
  }
  std::string EncodeLocalReply(
    const gateway::LocalReply& aAnswer) const override;

private:
  Flaw m_flaw;
  const gateway::ICallerCodec& m_delegate;
  mutable std::uint64_t m_requests = 0;
  mutable std::string m_lastId;
};

class FlawedUpstreamCodec : public gateway::IUpstreamCodec
{
public:
  FlawedUpstreamCodec(Flaw aFlaw, const gateway::IUpstreamCodec& aDelegate)
    : m_flaw(aFlaw)
    , m_delegate(aDelegate)
  {
  }

  std::string EncodeHead(const gateway::CallerRequest& aRequest,
                         const gateway::SendContext& aContext) const override;
  gateway::UpstreamResponse Decode(http::ResponseHead&& aHead) const override;

private:
  Flaw m_flaw;
  const gateway::IUpstreamCodec& m_delegate;
};

class FlawedStoreCodec : public gateway::IStoreCodec
{
public:
  FlawedStoreCodec(Flaw aFlaw, const gateway::IStoreCodec& aDelegate)
    : m_flaw(aFlaw)
    , m_delegate(aDelegate)
  {
  }

  std::string EncodeList(const std::string& aAfterKey) const override
  {
    return m_delegate.EncodeList(aAfterKey);
  }
  std::string EncodeWatch(std::uint64_t aAfterRevision,
                          base::Duration aWait) const override
  {
    return m_delegate.EncodeWatch(aAfterRevision, aWait);
  }
  gateway::StorePage DecodeList(std::string_view aBody) const override;
  gateway::StorePage DecodeWatch(std::string_view aBody) const override;
  std::optional<std::uint64_t> DecodeEra(
    const http::HeaderList& aHeaders) const override
  {
    return m_delegate.DecodeEra(aHeaders);
  }
  fleet::ConfigPtr DecodeConfig(std::string_view aBytes) const override;

private:
  gateway::StorePage ApplyFlaw(gateway::StorePage aPage) const;

  Flaw m_flaw;
  const gateway::IStoreCodec& m_delegate;
  mutable int m_pages = 0;
  mutable std::unordered_map<std::string, std::string> m_keys;
};

}
