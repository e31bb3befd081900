#pragma once

#include "base/enumnames.h"
#include "gateway/icallercodec.h"
#include "gateway/istorecodec.h"
#include "gateway/iupstreamcodec.h"

#include <unordered_map>

namespace hemlockgauge::soak {

//! What a deliberately broken router does wrong. Each breaks one promise that
//! the soak watches; the soak must notice.
enum class Flaw : std::uint8_t
{
  CrossedIds,        //!< now and then a request goes out as the one before it
  FalseNotRun,       //!< what may have run is told not to have run
  RepeatsAll,        //!< what may run once is tried again like the rest
  WrongFields,       //!< upstreams are told another workspace
  KeepsLeaving,      //!< upstreams that leave go on getting work
  KeepsOldKeys,      //!< withdrawn keys stay
  StopsAtOnce,       //!< a planned stop waits for nothing
  LosesTheStore,     //!< after a while answers of the store are not understood
  TakesAllForNew,    //!< no request is recognised when it comes again
  MissesEvacuations, //!< evacuated zones go on getting work
  TakesColdForWarm   //!< cold upstreams get as much as warm ones
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
                            "takes-cold-for-warm");

class FlawedCallers : public gateway::ICallerCodec
{
public:
  FlawedCallers(Flaw aFlaw, const gateway::ICallerCodec& aTrue)
    : m_flaw(aFlaw)
    , m_true(aTrue)
  {
  }

  gateway::CallerRequest Decode(http::RequestHead&& aHead) const override;
  std::string EncodeHead(
    const gateway::UpstreamResponse& aAnswer) const override
  {
    return m_true.EncodeHead(aAnswer);
  }
  std::string EncodeLocalReply(
    const gateway::LocalReply& aAnswer) const override;

private:
  Flaw m_flaw;
  const gateway::ICallerCodec& m_true;
  mutable std::uint64_t m_requests = 0;
  mutable std::string m_lastId;
};

class FlawedUpstreams : public gateway::IUpstreamCodec
{
public:
  FlawedUpstreams(Flaw aFlaw, const gateway::IUpstreamCodec& aTrue)
    : m_flaw(aFlaw)
    , m_true(aTrue)
  {
  }

  std::string Encode(const gateway::CallerRequest& aRequest,
                     const gateway::SendContext& aContext) const override;
  gateway::UpstreamResponse Decode(http::ResponseHead&& aHead) const override
  {
    return m_true.Decode(std::move(aHead));
  }

private:
  Flaw m_flaw;
  const gateway::IUpstreamCodec& m_true;
};

class FlawedStore : public gateway::IStoreCodec
{
public:
  FlawedStore(Flaw aFlaw, const gateway::IStoreCodec& aTrue)
    : m_flaw(aFlaw)
    , m_true(aTrue)
  {
  }

  std::string EncodeList(const std::string& aAfterKey) const override
  {
    return m_true.EncodeList(aAfterKey);
  }
  std::string EncodeWatch(std::uint64_t aAfterRevision,
                          base::Duration aWait) const override
  {
    return m_true.EncodeWatch(aAfterRevision, aWait);
  }
  gateway::StorePage DecodeList(std::string_view aBody) const override;
  gateway::StorePage DecodeWatch(std::string_view aBody) const override;
  std::optional<std::uint64_t> DecodeEra(
    const http::HeaderList& aHeaders) const override
  {
    return m_true.DecodeEra(aHeaders);
  }
  fleet::ConfigPtr DecodeConfig(std::string_view aBytes) const override;

private:
  gateway::StorePage Spoil(gateway::StorePage aPage) const;

  Flaw m_flaw;
  const gateway::IStoreCodec& m_true;
  mutable int m_pages = 0;
  mutable std::unordered_map<std::string, std::string> m_keys;
};

}
