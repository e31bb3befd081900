#pragma once

#include "base/basetypes.h"

#include <cstddef>
#include <cstdint>

//! Limits of what is believed of requests under which upstreams crash.
namespace hemlockgauge::quarantine {

using namespace std::chrono_literals;

//! From the first connection that breaks at an upstream to a look whether it
//! still listens: all its connections have told of their end by then.
inline constexpr base::Duration kCrashCheckDelay = 20ms;

//! Upstreams that crashed under a request before it is quarantined. Each crash
//! has a score of requests beside it; of those that are tried again hardly one
//! meets a second crash, and none of hundreds a third.
inline constexpr std::size_t kCrashesToQuarantine = 3;
//! For how long; then one more crash is enough. Each trial may cost an upstream
//! and what it runs.
inline constexpr base::Duration kQuarantineTime = std::chrono::minutes(10);
//! How long a crash is remembered: callers come again after any time.
inline constexpr base::Duration kCrashKept = std::chrono::hours(1);
//! How long it is told; less, or routers would remind each other for ever.
inline constexpr base::Duration kCrashTold =
  kCrashKept - std::chrono::minutes(1);
//! A whole answer speaks for copies of its request that ran so much later too:
//! they were sent before it.
inline constexpr base::Duration kSoundFor = 1000ms;
//! Until a look at an upstream has told whether it crashed.
inline constexpr base::Duration kUnsureFor = 100ms;
//! Requests remembered, and crashes of each: some 400 KB if all are full.
inline constexpr std::size_t kMostSuspects = 1024;
inline constexpr std::size_t kMostCrashesKept = 16;
//! Requests that ended well, remembered here: of half a minute.
inline constexpr std::size_t kMostSuccessesKept = 1024;
//! Crashes in one report: 1 KB. News is told so many times, for reports get
//! lost.
inline constexpr std::size_t kMostCrashesTold = 64;
inline constexpr int kTimesTold = 5;
//! Suspects that are told in turn, each time: some hundred bytes.
inline constexpr std::size_t kSuspectsInTurn = 16;

}
