#include "LibCore/Clock.h"

namespace primrose {

time_point
system_clock_source::Now() const
{
  return std::chrono::time_point_cast<duration>(
    std::chrono::steady_clock::now());
}

wall_time
system_clock_source::Wall() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

wall_time
manual_clock_source::Wall() const
{
  return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
    mNow.time_since_epoch()));
}

} // namespace primrose
