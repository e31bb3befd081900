#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/enumnames.h"
#include "http/connectionset.h"
#include "http/listener.h"
#include "http/serverconnection.h"
#include "standins/spoiledevent.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::standins {

//! The fault that an upstream injects into the handling of one request.
enum class UpstreamFault : std::uint8_t
{
  None,
  Shed,            //!< answers that it has not run the request; with a
                   //!< Retry-After if one is set
  Fail,            //!< answers 500 after running the request
  CloseUnanswered, //!< runs the request, closes without an answer
  BreakOff,        //!< closes the connection within its answer
  Mute,            //!< runs the request and never answers
  ExtraAnswer,     //!< sends another request's answer after its own
  ForeignAnswer,   //!< sends another request's answer before its own
  NoLength,        //!< the answer ends when the connection closes
  NoLengthCut,     //!< a stream ends inside an event when the connection closes
  NoResponseSeal,  //!< a successful answer without Response-Seal
  Rubbish,         //!< bytes that are not an HTTP response
  Crash,           //!< the upstream and all its connections end
  CrashAfterEvent, //!< crashes after an event of a stream without a length; its
                   //!< connection closes as at the end of an answer
  Spoiled,         //!< a stream with bytes besides its events; see SetSpoil
  OtherType,       //!< a stream whose head names another content type
  NoEvents,        //!< a stream that ends before its first event
  EmptyNoLength,   //!< a head without a length or chunks, then the close
  CrashAfterBytes, //!< crashes within the body of a plain answer without a
                   //!< length; its connection closes as at the end of an answer
  CutShort,        //!< the answer ends after some bytes; see SetCut
  // The following send bytes until the peer closes the connection.
  EndlessHead,    //!< header fields
  EndlessInterim, //!< interim responses
  EndlessBody,    //!< a body; of a stream, one event
  EndlessRefusal, //!< the body of a response that says "not run"
  EndlessForeign, //!< the body of another request's response
  // The following send bytes and then nothing until the peer closes.
  StalledHead,  //!< short header fields, the head has no end
  StalledEvent, //!< a stream's first event, without its end
  // The following are whole, but large.
  LargeHead, //!< an answer with many short header fields
  LargeBody  //!< a plain answer with a body of some hundred kilobytes
};
inline constexpr auto kUpstreamFaultNames =
  base::MakeEnumNames<UpstreamFault>("none",
                                     "shed",
                                     "fail",
                                     "close-unanswered",
                                     "break-off",
                                     "mute",
                                     "extra-answer",
                                     "foreign-answer",
                                     "no-length",
                                     "no-length-cut",
                                     "no-proof",
                                     "rubbish",
                                     "crash",
                                     "crash-after-event",
                                     "spoiled",
                                     "other-type",
                                     "no-events",
                                     "empty-no-length",
                                     "crash-after-bytes",
                                     "cut-short",
                                     "endless-head",
                                     "endless-interim",
                                     "endless-body",
                                     "endless-refusal",
                                     "endless-foreign",
                                     "stalled-head",
                                     "stalled-event",
                                     "large-head",
                                     "large-body");

//! The bytes of a spoiled stream and the event of a run before which they come;
//! a later one than its last: at its end.
struct Spoil
{
  SpoiledEvent kind = SpoiledEvent::NoId;
  int before = 1; //!< from 1
  //! Sends them and the event before them at once.
  bool joinsEvent = false;
  //! Sends them as soon as the request arrives, with the head.
  bool atOnce = false;
};

//! One execution of a request, as observed by the upstream.
struct UpstreamRun
{
  std::string requestId;
  std::string target;
  std::string workspace;
  std::string body;
  std::string lastEventId;
  std::string resumedRequestId;
  std::string promptParts; //!< as sent: ID:TOKENS entries with commas
  std::int64_t deadlineMs = -1;
  bool receivedCallerKey = false; //!< the router forwarded a caller's key
  bool receivedRouterOnlyField =
    false; //!< the router forwarded a router-only field
  bool ended = false;
  bool cancelled = false;
};

struct UpstreamStandinSettings
{
  std::string id = "i-1";
  base::Address listen;
  std::uint32_t slots = 8;
  bool isEngine = false;
  base::Duration workTime{ 5 }; //!< to the first byte, and per event
  //! More than routers accept, as they add fields to the heads of their
  //! callers.
  std::size_t maxHeadBytes = 65536;
  //! While cold, the upstream crashes if it receives more requests than this
  //! within one second; 0: no limit.
  std::uint32_t coldLimit = 0;
  //! Version of its software, which each event of a stream names; empty: events
  //! name no version.
  std::string softwareVersion;
};

//! Test double of a model engine or a plain service of the platform.
class UpstreamStandin : public http::IServerEvents
{
public:
  using FaultSelector = std::function<UpstreamFault(const UpstreamRun& aRun)>;
  //! What later requests with the fault Spoiled get.
  void SetSpoil(const Spoil& aSpoil) { m_spoil = aSpoil; }
  //! Bytes that later requests with the fault CutShort get, from the start of
  //! the head.
  void SetCut(std::size_t aBytes) { m_cut = aBytes; }
  using Observer = std::function<void(const UpstreamRun& aRun)>;

  UpstreamStandin(eventloop::EventLoop& aLoop,
                  const UpstreamStandinSettings& aSettings);
  ~UpstreamStandin() override;

  //! aSelector chooses the fault of each request, before the request runs.
  void SetFaultSelector(FaultSelector aSelector)
  {
    m_faultSelector = std::move(aSelector);
  }
  //! aObserver is called when a run begins and when it ends.
  void SetObserver(Observer aObserver) { m_observer = std::move(aObserver); }
  const std::vector<std::unique_ptr<UpstreamRun>>& Runs() const
  {
    return m_runs;
  }
  std::size_t Connections() const { return m_connections.Size(); }
  //! Simulates a process crash: aborts all connections and closes the listener.
  void Crash();
  //! aOnCrash is called by Crash(), before any connection is aborted.
  void SetOnCrash(std::function<void()> aOnCrash)
  {
    m_onCrash = std::move(aOnCrash);
  }
  bool HasCrashed() const { return m_crashed; }
  bool IsEngine() const { return m_settings.isEngine; }
  void TurnCold(base::Duration aFor);
  bool IsCold() const;
  //! From now on all answers say that the upstream leaves. It goes on serving.
  void Leave() { m_leaving = true; }
  //! Retry-After of later refusals; 0: none.
  void SetRetryAfter(base::Duration aRetryAfter) { m_retryAfter = aRetryAfter; }
  bool IsLeaving() const { return m_leaving; }
  //! aObserver is called with each refused request and the Retry-After that it
  //! gets; 0: none.
  using RefusalObserver =
    std::function<void(const UpstreamRun& aRun, base::Duration aRetryAfter)>;
  void SetRefusalObserver(RefusalObserver aObserver)
  {
    m_refusalObserver = std::move(aObserver);
  }
  //! Number of requests that reached the upstream and were meant for it,
  //! including refused ones.
  std::uint64_t Arrivals() const { return m_arrivals; }

  //! Returns the data of event aEvent (from 1) of a stream, or the body of a
  //! plain answer (aEvent is 0).
  static std::string AnswerText(const std::string& aRequestId, int aEvent);
  //! Returns event aEvent (from 1) of a stream from an upstream of a version.
  static std::string EventText(const std::string& aRequestId,
                               int aEvent,
                               const std::string& aSoftwareVersion = "");

  void OnRequest(http::ServerConnection& aConnection,
                 http::RequestHead&& aHead,
                 std::string&& aBody) override;
  void OnBadRequest(http::ServerConnection& aConnection,
                    http::Fault aFault) override;
  void OnPeerGone(http::ServerConnection& aConnection) override;
  void OnDrained(http::ServerConnection&) override {}
  void OnClosed(http::ServerConnection& aConnection) override;

  int instanceMismatches = 0; //!< requests that expected another instance

private:
  struct Work
  {
    http::ServerConnection* connection = nullptr;
    UpstreamRun* run = nullptr;
    UpstreamFault fault = UpstreamFault::None;
    base::TimePoint nextAt{};
    int events = 0; //!< number of events to stream; 0: plain answer
    int sent = 0;   //!< number of the last event sent
    bool headSent = false;
    bool isSpoilSent = false;
    Spoil spoil;
    std::size_t cut = 0;
  };

  void Tick();
  //! Counts a request; returns true if it exceeds
  //! UpstreamStandinSettings::coldLimit.
  bool ExceedsColdLimit();
  void Refuse(http::ServerConnection& aConnection, const UpstreamRun& aRun);
  //! Performs the next step of a run; returns true when the run has ended.
  bool Advance(Work& aWork);
  bool AdvancePlain(Work& aWork);
  void SendCutShort(const Work& aWork);
  void BeginStalled(const Work& aWork);
  std::string LargeHeadText(const Work& aWork) const;
  bool AdvanceStream(Work& aWork);
  void BeginStream(Work& aWork);
  void SendSpoil(Work& aWork);
  void AdvanceEndless(Work& aWork);
  void BeginEndless(const Work& aWork);
  void SendResponse(http::ServerConnection& aConnection,
                    int aStatus,
                    const std::string& aExtraHead,
                    const std::string& aBody);
  std::string ResponseHead(const Work& aWork, int aStatus) const;
  void EndRun(Work& aWork, bool aCancelled);

  eventloop::EventLoop& m_loop;
  UpstreamStandinSettings m_settings;
  FaultSelector m_faultSelector;
  Spoil m_spoil;
  std::size_t m_cut = 0;
  Observer m_observer;
  RefusalObserver m_refusalObserver;
  std::function<void()> m_onCrash;
  base::CallerLimits m_limits;
  std::vector<std::unique_ptr<UpstreamRun>> m_runs;
  std::vector<Work> m_activeWork;
  http::ConnectionSet m_connections;
  http::Listener m_listener;
  bool m_crashed = false;
  bool m_leaving = false;
  base::Duration m_retryAfter{};
  std::uint64_t m_arrivals = 0;
  base::TimePoint m_coldUntil{ base::TimePoint::min() / 2 };
  std::deque<base::TimePoint> m_coldRequestTimes; //!< within the last second
};

}
