#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockgauge::load {

//! Load of one workspace's callers.
struct WorkspacePlan
{
  std::string name;
  std::string service;
  std::string key;
  std::string path;
  bool stream = true;     //!< the response is a token stream of a model engine
  bool repeatable = true; //!< may be retried at another router after a cut
  double rate = 0;        //!< requests a second, open loop
  std::uint32_t closed = 0; //!< requests kept in progress, closed loop
  std::uint32_t tokensLow = 16;
  std::uint32_t tokensHigh = 16;
  std::uint32_t promptBytes = 200;
  double startSecond = 0;
  double stopSecond = 1e9;
  bool backlogged = false; //!< included in the fairness gap
  double share = 1;
  std::vector<std::size_t> routers; //!< indexes into Plan::routers; empty: all
};

//! Plan of a load run.
struct Plan
{
  std::vector<std::string> routers;
  std::vector<std::string>
    operators; //!< addresses of the routers' operator pages
  std::vector<std::string>
    upstreams; //!< stand-ins that report requests run twice
  double seconds = 10;
  double warmupSeconds = 3;
  double drainSeconds = 20;
  std::uint32_t idleConnections = 0; //!< kept open at the first router
  std::uint32_t slots =
    0; //!< total slots of the upstreams of the sampled service
  std::uint64_t seed = 1;
  std::vector<WorkspacePlan> workspaces;
};

//! Reads a plan from an INI file. Throws Error(BadSyntax) with the line, or
//! Error(BadValue) with the section and the expected values.
Plan
ReadPlan(const std::string& aFile);

}
