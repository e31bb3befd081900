#pragma once

#include "traffic/traffictypes.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

struct MHD_Connection;

namespace hemlockgauge::traffic {

//! The head of an answer as it goes to the caller.
struct AnswerHead
{
  int status = 200;
  std::string contentType;
  std::string reason;
  base::Verdict verdict = base::Verdict::Ran;
  base::Duration retryAfter{};
};

//! One request between its caller and an upstream: a bounded buffer that
//! the upstream's thread fills and the caller's thread empties.
class Exchange
{
public:
  static constexpr std::size_t kHighWater = 262144;
  static constexpr std::size_t kLowWater = 65536;

  enum class Read
  {
    Some,
    Wait, //!< the connection was suspended
    End,
    Failed
  };

  explicit Exchange(CallerRequest aRequest);

  CallerRequest& Request() { return m_request; }
  const CallerRequest& Request() const { return m_request; }

  // The caller's side
  //! Suspends the connection unless the head is there already.
  bool AwaitHead(MHD_Connection* aConnection, AnswerHead& aHead);
  Read Take(char* aBuffer, std::size_t aMost, std::size_t& aGot);
  //! The connection ended; returns true if the answer had not.
  bool CallerEnded();
  //! Looks whether a caller whose connection is suspended hung up.
  bool CallerHungUp();
  void OnRoom(std::function<void()> aCallback);

  // The upstream's side
  void Head(const AnswerHead& aHead);
  //! Returns false when the buffer is above its high-water mark.
  bool Append(std::string_view aBytes);
  void End();
  //! The answer can't be made whole: cut it so that this shows.
  void Abort();
  //! Answers from here, unless a head has gone out; then cuts.
  void Refuse(const Refusal& aRefusal);
  bool HasHead() const;
  bool IsCallerGone() const { return m_callerGone; }

private:
  void ResumeLocked();

  CallerRequest m_request;
  mutable std::mutex m_mutex;
  MHD_Connection* m_connection = nullptr;
  bool m_suspended = false;
  bool m_hasHead = false;
  bool m_ended = false;
  bool m_failed = false;
  bool m_full = false;
  std::atomic<bool> m_callerGone{ false };
  AnswerHead m_head;
  std::string m_buffer;
  std::size_t m_start = 0;
  std::function<void()> m_onRoom;
};

}
