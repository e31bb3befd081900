#pragma once

#include "decision/decisiontypes.h"
#include "traffic/internal/answerreader.h"
#include "traffic/internal/exchange.h"

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>

namespace hemlockgauge::traffic {

//! One attempt of a request at one upstream: the first try (an HTTP request)
//! and, at a model engine, further tries that resume its stream by request id
//! and offset.
class Transfer
{
public:
  enum class Next
  {
    Done,    //!< finished; see Outcome()
    Resume,  //!< open a new handle once IsDueToResume()
    CheckEnd //!< likewise, to learn whether the upstream still serves
  };

  Transfer(std::shared_ptr<Exchange> aExchange,
           const decision::SendRequest& aSend);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  base::RequestId Id() const { return m_send.request; }
  const decision::SendRequest& Send() const { return m_send; }
  Exchange& CallerExchange() { return *m_exchange; }
  CURL* Handle() const { return m_handle; }

  //! Creates the libcurl handle of the next try.
  CURL* Open(base::TimePoint aNow);
  void DropHandle() { CloseHandle(); }
  //! Evaluates a try that ended with aResult, or that was stopped because the
  //! upstream sent nothing for the stall limit (aStalled).
  Next FinishTry(CURLcode aResult, bool aStalled, base::TimePoint aNow);
  //! Whether the upstream sent nothing for longer than the stall limit, other
  //! than while the transfer was paused. Part of an event counts as nothing.
  bool IsStalled(base::TimePoint aNow) const;
  bool ChecksEnd() const { return m_checksEnd; }
  bool IsDueToResume(base::TimePoint aNow) const { return aNow >= m_resumeAt; }
  void Unpause();
  decision::AttemptOutcome Outcome() const { return m_outcome; }
  bool UpstreamLeaving() const { return m_upstreamLeaving; }
  //! See AttemptEnded.
  base::Duration RetryAfter() const
  {
    return m_refusedByUpstream ? m_retryAfter : base::Duration{};
  }
  //! Whether the stream may still run at the model engine although the attempt
  //! ended, so that it must be cancelled there.
  bool NeedsCancel() const;
  std::string StreamUrl() const;

private:
  static std::size_t OnBody(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf);
  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aSelf);
  static int OnProgress(void* aSelf,
                        curl_off_t,
                        curl_off_t,
                        curl_off_t,
                        curl_off_t);
  std::size_t HandleBody(std::string_view aBytes);
  bool Forward(std::string_view aBytes);
  void ResetHead();
  void HandleHeader(std::string_view aLine);
  bool AcceptHead();
  void SendHead();
  void SetRequestOptions();
  void SetEndCheckOptions();
  bool EndedWithConnection() const;
  Next FinishEndCheck(bool aUpstreamServes);
  void CloseHandle();
  bool IsModelEngine() const;
  bool CanResume(base::TimePoint aNow) const;

  std::shared_ptr<Exchange> m_exchange;
  decision::SendRequest m_send;
  AnswerReader m_reader;
  CURL* m_handle = nullptr;
  curl_slist* m_headers = nullptr;
  decision::AttemptOutcome m_outcome = decision::AttemptOutcome::NotSent;

  // State of the current try
  long m_status = 0;
  bool m_headIsComplete = false;
  bool m_hasLengthOrChunks = false;
  std::string m_contentType;
  std::string m_answerRequestId;
  bool m_refusedByUpstream = false;
  base::Duration m_retryAfter{};
  bool m_rejectedAnswer = false; //!< of another request, or not as expected
  bool m_paused = false;
  bool m_pauseRequested = false;
  base::TimePoint m_lastProgressAt{};
  std::uint64_t m_offsetAtStart = 0;

  // State across tries
  bool m_sent = false;
  bool m_checksEnd = false;
  bool m_unknownStream = false;
  bool m_upstreamLeaving = false;
  std::uint32_t m_resumesWithoutProgress = 0;
  std::uint32_t m_resumes = 0;
  base::TimePoint m_resumeAt{};
  base::TimePoint m_now{};
};

}
