#pragma once

#include "base/basetypes.h"

#include <cstddef>
#include <cstdint>

//! Limits of the quarantine of requests that crash upstreams.
namespace hemlockgauge::quarantine {

using namespace std::chrono_literals;

//! Delay from the first broken connection of an upstream to the check whether
//! it still listens. By then, the end of all its connections has been noticed.
inline constexpr base::Duration kCrashCheckDelay = 20ms;

//! Number of upstreams that have to crash while they run a request before it is
//! quarantined. About twenty other requests run on the upstream at each crash.
//! When they are retried, hardly any is running at a second crash, and none of
//! hundreds at a third.
inline constexpr std::size_t kCrashesToQuarantine = 3;
//! Crashes that one complete answer outweighs. Requests beside the cause crash
//! now and then; the cause itself is never answered.
inline constexpr int kAnswerWeight = 4;
//! Score from which a prompt part is quarantined. Many more requests share a
//! part than are copies of one request, so chance brings three crashes under
//! some part while upstreams crash for other reasons.
inline constexpr int kPartScoreToQuarantine = 4;
//! Limits of the score of a prompt part. With the upper one, one complete
//! answer to a trial releases it; with the lower one, old answers save it from
//! no more than the next few crashes.
inline constexpr int kMaxPartScore = 5;
inline constexpr int kMinPartScore = -kAnswerWeight;
//! Answers longer ago than this don't count in favour of a prompt part: the
//! upstreams may run other software since.
inline constexpr base::Duration kAnswerValidity = std::chrono::seconds(30);
//! A prompt part that was answered here within this time is not suspected at
//! its first crash: parts that many requests share are at most crashes, and
//! routers would report all of them to each other.
inline constexpr base::Duration kRecentAnswerTime = 2000ms;
//! Crashes closer to each other than this count once against a prompt part, as
//! hosts that are lost together are one event. Includes the time that checks
//! and reports take.
inline constexpr base::Duration kSameEventInterval = 300ms;
//! A request whose answer has been written for this long did not crash its
//! upstream: the cause crashes it when the answer begins.
inline constexpr base::Duration kProvenWritingTime = 1000ms;
//! Minimum time between two answers that are recorded for one prompt part.
inline constexpr base::Duration kAnswerRecordInterval = 200ms;
//! Maximum number of answers per prompt part: enough to outweigh
//! kMaxCrashesPerSuspect crashes.
inline constexpr std::size_t kMaxAnswersPerSuspect = 4;
//! A prompt part with fewer crashes is tried again before its quarantine ends:
//! it may only have been beside the cause.
inline constexpr std::size_t kProvenCrashes = 5;
//! Time without a crash before a prompt part is tried. Requests that were sent
//! before the quarantine have ended by then.
inline constexpr base::Duration kFirstTrialDelay = 2000ms;
//! Length of a router's turn to try what is quarantined.
inline constexpr base::Duration kTrialTurn = 1000ms;
//! Part at the begin and at the end of a turn in which no router tries
//! anything, since routers take the last crash for older or younger by up to
//! this much.
inline constexpr base::Duration kTrialTurnMargin = 100ms;
//! Duration of a quarantine. After it, one more crash is enough to quarantine
//! the request again. Each trial may cost an upstream and the requests it runs.
inline constexpr base::Duration kQuarantineDuration = std::chrono::minutes(10);
//! Time to live of a crash record. Callers may send a request again at any
//! time.
inline constexpr base::Duration kCrashTtl = std::chrono::hours(1);
//! Age up to which a crash is reported to other routers. It is less than
//! kCrashTtl, since routers would otherwise renew each other's records
//! forever.
inline constexpr base::Duration kMaxReportedCrashAge =
  kCrashTtl - std::chrono::minutes(1);
//! A complete answer also clears crashes up to this long after it, since the
//! copies of its request that ran then were sent before the answer.
inline constexpr base::Duration kClearedAfterAnswer = 1000ms;
//! How long a request is refused until checks have shown whether upstreams that
//! ran it crashed.
inline constexpr base::Duration kPendingCheckRefusal = 100ms;
//! Maximum number of requests that have a record, and of crashes per record.
//! All records together take about 400 KB if they are full.
inline constexpr std::size_t kMaxSuspects = 1024;
inline constexpr std::size_t kMaxCrashesPerSuspect = 16;
//! Maximum number of answers that this router remembers: those of
//! about half a minute.
inline constexpr std::size_t kMaxRecentAnswers = 1024;
//! Maximum number of crashes in one report: 1 KB.
inline constexpr std::size_t kMaxCrashesPerReport = 64;
//! Maximum number of suspects with a single crash in one report. In a large
//! fleet, unrelated crashes make more of them than routers could report.
inline constexpr std::size_t kMaxSinglesPerReport = 16;
//! Number of suspects that are evicted at a time: to find the weakest, all have
//! to be compared.
inline constexpr std::size_t kEvictionBatch = 128;
//! Number of reports that include each new item, since reports get lost.
inline constexpr int kReportsPerItem = 5;
//! Number of suspects in each periodic resend: some hundred bytes.
inline constexpr std::size_t kSuspectsPerRefresh = 16;

}
