#pragma once

#include "eventloop/eventloop.h"
#include "soak/childprocess.h"
#include "soak/rawcaller.h"
#include "standins/httpserver.h"
#include "standins/oddrequest.h"
#include "traffic/internal/keydigest.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hemlockgauge::soak {

//! Half of the memory of the smallest host: 16 MB for libmicrohttpd at the most
//! connections, 8 MB for what requests hold, 20 MB for the process itself.
inline constexpr std::size_t kOwnCrowdMemoryMb = 44;
inline constexpr std::size_t kOwnMaxConnections = 500;
inline constexpr std::size_t kOwnCrowdSize = 400;
//! Less than the 32 KiB that a connection of libmicrohttpd has.
inline constexpr std::size_t kOwnMaxHeadBytes = 30000;
//! Descriptors of the router itself: listeners, the platform, upstreams, its
//! event loops.
inline constexpr std::size_t kOwnRouterDescriptors = 64;
//! Callers whose large answers run at a time.
inline constexpr std::size_t kOwnSmallCrowdSize = 40;
//! Together more than the socket buffers of a connection hold.
inline constexpr std::size_t kLargeAnswerParts = 256;
inline constexpr std::size_t kLargeAnswerPartBytes = 65536;

//! The processes of the running test. A failed assertion leaves the test
//! without calling destructors; EndOwnProcesses ends them all the same.
inline std::optional<ChildProcess> platformProcess;
inline std::optional<ChildProcess> ownRouter;

inline void
EndOwnProcesses()
{
  ownRouter.reset();
  platformProcess.reset();
}

//! A router of the own interface and its platform in processes of their own, a
//! plain upstream, and a crowd of callers as in CrowdFixture.
class OwnCrowdFixture
{
public:
  //! aConcurrency: requests that the upstream gets at a time.
  explicit OwnCrowdFixture(std::uint16_t aPort, int aConcurrency = 4)
    : m_port(aPort)
    , m_directory(std::filesystem::temp_directory_path() /
                  fmt::format("owncrowd-{}", aPort))
    , m_upstream(AddressAt(4), Answer)
  {
    std::filesystem::create_directories(m_directory);
    StartPlatform(aConcurrency);
  }

  ~OwnCrowdFixture() { EndOwnProcesses(); }

  //! Starts the router and waits until it serves.
  void StartRouter(int aCallerTimeoutMs = 10000)
  {
    const auto settings =
      Write("router.ini",
            fmt::format("[router]\nid = r1\navailability_zone = z\n"
                        "listen = {}\npeer_listen = {}\nadmin_listen = {}\n"
                        "max_connections = {}\nmax_buffered_mb = 8\n"
                        "caller_timeout_ms = {}\n[platform]\naddress = {}\n",
                        AddressAt(0).Text(),
                        AddressAt(1).Text(),
                        AddressAt(2).Text(),
                        kOwnMaxConnections,
                        aCallerTimeoutMs,
                        AddressAt(3).Text()));
    ownRouter.emplace(Program("HEMLOCKGAUGE_ROUTER"),
                      std::vector{ "--settings=" + settings },
                      LogFile("router"));
    ownRouter->Start();
    RunUntil([&] { return ServesOne(); });
  }

  void SendCrowd(standins::OddRequest aKind,
                 const std::string& aPath,
                 Reading aReading = Reading::On,
                 std::size_t aSize = kOwnCrowdSize)
  {
    standins::OddRequestSettings settings;
    settings.path = aPath;
    settings.key = kKey;
    settings.maxHeadBytes = kOwnMaxHeadBytes;
    for (std::size_t i = 0; i < aSize; ++i) {
      crowd.push_back(std::make_unique<RawCaller>(
        m_loop,
        AddressAt(0),
        standins::OddRequestText(aKind, settings, i),
        aReading));
      m_loop.RunOnce();
    }
    RunUntil([&] {
      return std::all_of(crowd.begin(), crowd.end(), [](const auto& aCaller) {
        return aCaller->HasSent();
      });
    });
    RunFor(1000);
  }

  //! The crowd leaves; then an ordinary request is served, and the router lives
  //! and kept within its limits.
  void ExpectSound()
  {
    ExpectWithinLimits();
    crowd.clear();
    RunUntil([&] { return ServesOne(); });
    ExpectWithinLimits();
  }

  std::size_t OpenDescriptors() const { return ownRouter->OpenDescriptors(); }

  //! Runs the loop until the condition holds; fails after 20 s.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto limit = m_loop.Now() + std::chrono::seconds(20);
    bool isMet = aCondition();
    while (!isMet && m_loop.Now() < limit) {
      RunFor(10);
      isMet = aCondition();
    }
    cr_assert(isMet, "the condition was not met in time");
  }

  std::vector<std::unique_ptr<RawCaller>> crowd;

private:
  static constexpr const char* kKey = "key-1";

  //! Paths that begin with /s/slow are answered late, /s/large with large
  //! bodies.
  static standins::HttpResponse Answer(const standins::HttpRequest& aRequest)
  {
    standins::HttpResponse response;
    if (aRequest.path == "/v1/load") {
      response.body = R"({"running":0,"leaving":false})";
      return response;
    }
    const auto id = aRequest.headers.find("x-request-id");
    if (id != aRequest.headers.end()) {
      response.headers["X-Request-Id"] = id->second;
    }
    response.headers["Content-Type"] = "text/plain";
    response.body = "ok";
    if (aRequest.path.starts_with("/s/slow")) {
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    if (aRequest.path.starts_with("/s/large")) {
      response.stream = [left = kLargeAnswerParts]() mutable {
        standins::Chunk chunk;
        if (left > 0) {
          left--;
          chunk.bytes.assign(kLargeAnswerPartBytes, 'b');
        }
        return chunk;
      };
    }
    return response;
  }

  base::Address AddressAt(int aOffset) const
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(m_port + aOffset) };
  }

  static std::string Program(const char* aVariable)
  {
    const char* program = std::getenv(aVariable);
    cr_assert(program != nullptr, "%s is not set", aVariable);
    return program;
  }

  std::string LogFile(const std::string& aName) const
  {
    return (m_directory / (aName + ".log")).string();
  }

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    auto file = (m_directory / aName).string();
    std::ofstream(file) << aText;
    return file;
  }

  void StartPlatform(int aConcurrency)
  {
    const auto hosts = Write(
      "hosts.json",
      fmt::format(R"([{{"id":"r1","role":"router","availability_zone":"z",)"
                  R"("address":"{}","peer_address":"{}","state":"live"}},)"
                  R"({{"id":"p1","role":"upstream","availability_zone":"z",)"
                  R"("address":"{}","pool":"portal","state":"live"}}])",
                  AddressAt(2).Text(),
                  AddressAt(1).Text(),
                  AddressAt(4).Text()));
    const auto document =
      Write("s.doc.ini",
            fmt::format("[service]\nname = s\npath_prefix = /s\n"
                        "[upstream]\npool = portal\nkind = plain\n"
                        "concurrency = {}\nstall_limit_ms = 20000\n"
                        "[workspace:w]\nshare = 1\nkey_sha256 = {}\n",
                        aConcurrency,
                        traffic::Sha256Hex(kKey)));
    platformProcess.emplace(Program("HEMLOCKGAUGE_STANDIN_PLATFORM"),
                            std::vector{ "--listen=" + AddressAt(3).Text(),
                                         "--hosts=" + hosts,
                                         "--documents=s=" + document },
                            LogFile("platform"));
    platformProcess->Start();
  }

  //! Sends an ordinary request on a connection of its own. Whether it was
  //! served.
  bool ServesOne()
  {
    constexpr auto kDeadline = std::chrono::seconds(4);
    RawCaller caller(m_loop,
                     AddressAt(0),
                     fmt::format("POST /s/x HTTP/1.1\r\nHost: h\r\n"
                                 "Authorization: Bearer {}\r\n"
                                 "X-Deadline-Ms: 4000\r\n"
                                 "Content-Length: 2\r\n\r\n{{}}",
                                 kKey));
    const auto limit = m_loop.Now() + kDeadline;
    while (caller.IsOpen() && caller.FirstBytes().empty() &&
           m_loop.Now() < limit) {
      RunFor(1);
    }
    return caller.FirstBytes().starts_with("HTTP/1.1 200");
  }

  void ExpectWithinLimits()
  {
    int status = 0;
    cr_assert(!ownRouter->HasEnded(status), "the router ended: %d", status);
    const auto descriptors = ownRouter->OpenDescriptors();
    cr_assert(descriptors <= kOwnMaxConnections + kOwnRouterDescriptors,
              "%zu descriptors",
              descriptors);
// A sanitizer's own memory does not fit into the limit.
#if !defined(__SANITIZE_ADDRESS__)
    const auto peak = ownRouter->PeakResidentBytes();
    cr_assert(peak <= kOwnCrowdMemoryMb << 20U,
              "%zu of %zu MB",
              peak >> 20U,
              kOwnCrowdMemoryMb);
#endif
  }

  //! Runs the loop for aMillis.
  void RunFor(int aMillis)
  {
    const auto until = m_loop.Now() + base::Duration(aMillis);
    while (m_loop.Now() < until) {
      m_loop.RunOnce();
    }
  }

  std::uint16_t m_port;
  std::filesystem::path m_directory;
  eventloop::EventLoop m_loop;
  standins::HttpServer m_upstream;
};

}
