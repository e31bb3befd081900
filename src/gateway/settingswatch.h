#pragma once

#include <cstdint>
#include <string>

namespace hemlockgauge::gateway {

class Gateway;

//! Reads the settings again when it is asked to, or when the file has
//! changed unasked. A file that can't be read leaves the settings as they
//! are.
class SettingsWatch
{
public:
  SettingsWatch(std::string aFile, Gateway& aRouter);

  //! aRequests: how often a reload was asked for since the start.
  void Tick(int aRequests);

private:
  std::string m_file;
  Gateway& m_router;
  std::int64_t m_writtenAt;
  int m_requests = 0;
};

}
