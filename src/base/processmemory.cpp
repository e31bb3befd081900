#include "base/processmemory.h"

#include <fstream>
#include <unistd.h>

namespace hemlockgauge::base {

std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (!(file >> total >> resident)) {
    return 0;
  }
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}
