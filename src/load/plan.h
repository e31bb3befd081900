#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockgauge::load {

//! One workspace's callers.
struct WorkspacePlan
{
  std::string name;
  std::string service;
  std::string key;
  std::string path;
  bool stream = true;       //!< a model engine answers
  bool repeatable = true;   //!< asked again elsewhere when cut
  double rate = 0;          //!< requests a second, open loop
  std::uint32_t closed = 0; //!< requests kept in progress, closed loop
  std::uint32_t tokensLow = 16;
  std::uint32_t tokensHigh = 16;
  std::uint32_t promptBytes = 200;
  double startSecond = 0;
  double stopSecond = 1e9;
  bool backlogged = false; //!< counts for the fairness gap
  double share = 1;
  std::vector<std::size_t> routers; //!< indexes; empty: all
};

struct Plan
{
  std::vector<std::string> routers;
  std::vector<std::string> operators; //!< routers' operator pages
  std::vector<std::string> upstreams; //!< stand-ins that count their runs
  double seconds = 10;
  double warmupSeconds = 3;
  double drainSeconds = 20;
  std::uint32_t idleConnections = 0; //!< kept open to the first router
  std::uint32_t slots = 0; //!< of all upstreams of the sampled service
  std::uint64_t seed = 1;
  std::vector<WorkspacePlan> workspaces;
};

//! Throws Error(BadValue) naming what is wrong.
Plan
ReadPlan(const std::string& aFile);

}
