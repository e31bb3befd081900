#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/enumnames.h"
#include "http/connectionset.h"
#include "http/listener.h"
#include "http/serverconnection.h"

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

//! What a worker does wrong with one request.
enum class Misbehaviour : std::uint8_t
{
  None,
  Shed,            //!< says that it ran nothing
  Fail,            //!< its own failure after running
  CloseUnanswered, //!< runs it and closes without an answer
  BreakOff,        //!< stops in the middle of its answer
  Mute,            //!< runs it and never answers
  ExtraAnswer,     //!< a second answer to something else behind its own
  ForeignAnswer,   //!< an answer to something else before its own
  NoLength,        //!< an answer that ends with its connection
  NoProof,         //!< a success without the proof
  Rubbish,         //!< bytes that are no answer
  Crash            //!< the worker ends; so do all its connections
};
inline constexpr auto kMisbehaviourNames =
  base::MakeEnumNames<Misbehaviour>("none",
                                    "shed",
                                    "fail",
                                    "close-unanswered",
                                    "break-off",
                                    "mute",
                                    "extra-answer",
                                    "foreign-answer",
                                    "no-length",
                                    "no-proof",
                                    "rubbish",
                                    "crash");

//! One run of a request, as the worker saw it.
struct WorkerRun
{
  std::string requestId;
  std::string target;
  std::string workspace;
  std::string body;
  std::string lastEventId;
  std::int64_t deadlineMs = -1;
  bool sawKey = false;      //!< a caller's key was passed on
  bool sawOwnField = false; //!< a field that only the router may set came
  bool ended = false;
  bool cancelled = false;
};

struct WorkerSettings
{
  std::string id = "i-1";
  base::Address listen;
  std::uint32_t slots = 8;
  bool isEngine = false;
  base::Duration workTime{ 5 }; //!< until the first byte, and per event
  //! Requests in any second under which it crashes while it is cold; 0: none.
  std::uint32_t coldLimit = 0;
};

//! Stands in for a model engine or a plain service of the platform.
class WorkerStandin : public http::IServerEvents
{
public:
  using Judge = std::function<Misbehaviour(const WorkerRun& aRun)>;
  using Observer = std::function<void(const WorkerRun& aRun)>;

  WorkerStandin(eventloop::EventLoop& aLoop, const WorkerSettings& aSettings);
  ~WorkerStandin() override;

  //! Asked once for each request, before it runs.
  void SetJudge(Judge aJudge) { m_judge = std::move(aJudge); }
  //! Told at each run's begin and end.
  void SetObserver(Observer aObserver) { m_observer = std::move(aObserver); }
  const std::vector<std::unique_ptr<WorkerRun>>& Runs() const { return m_runs; }
  std::size_t Connections() const { return m_connections.Size(); }
  //! Ends as a process does: nothing is answered, and nothing listens.
  void Crash();
  //! Told at once, before any connection ends.
  void SetOnCrash(std::function<void()> aOnCrash)
  {
    m_onCrash = std::move(aOnCrash);
  }
  bool HasCrashed() const { return m_crashed; }
  void TurnCold(base::Duration aFor);
  bool IsCold() const;

  //! The body of a plain answer, or the data of an event (from 1).
  static std::string AnswerText(const std::string& aRequestId, int aEvent);

  void OnRequest(http::ServerConnection& aConnection,
                 http::RequestHead&& aHead,
                 std::string&& aBody) override;
  void OnBadRequest(http::ServerConnection& aConnection,
                    http::Fault aFault) override;
  void OnPeerGone(http::ServerConnection& aConnection) override;
  void OnDrained(http::ServerConnection&) override {}
  void OnClosed(http::ServerConnection& aConnection) override;

  int refusedForId = 0; //!< requests that expected another instance

private:
  struct Work
  {
    http::ServerConnection* connection = nullptr;
    WorkerRun* run = nullptr;
    Misbehaviour misbehaviour = Misbehaviour::None;
    base::TimePoint nextAt{};
    int events = 0; //!< of a stream; 0: a plain answer
    int sent = 0;   //!< the last event sent
    bool begun = false;
  };

  void Tick();
  bool IsOverrun();
  //! Returns true when the run is over.
  bool Advance(Work& aWork);
  bool AdvancePlain(Work& aWork);
  bool AdvanceStream(Work& aWork);
  void SendPlain(http::ServerConnection& aConnection,
                 int aStatus,
                 const std::string& aExtraHead,
                 const std::string& aBody);
  std::string Head(const Work& aWork, int aStatus) const;
  void End(Work& aWork, bool aCancelled);

  eventloop::EventLoop& m_loop;
  WorkerSettings m_settings;
  Judge m_judge;
  Observer m_observer;
  std::function<void()> m_onCrash;
  base::CallerLimits m_limits;
  std::vector<std::unique_ptr<WorkerRun>> m_runs;
  std::vector<Work> m_works;
  http::ConnectionSet m_connections;
  http::Listener m_listener;
  bool m_crashed = false;
  base::TimePoint m_coldUntil{ base::TimePoint::min() / 2 };
  std::deque<base::TimePoint> m_taken; //!< while cold, in the last second
};

}
