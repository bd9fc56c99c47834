#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>

/// @file
/// Replaces the C library's clock_gettime() in programs that are linked with
/// this file, so that their time of day is shifted. The environment variable
/// HAWTHORNBANK_SOAK_CLOCK names a file that holds the shift in nanoseconds;
/// see soak/process_clock.h. Other clocks aren't changed.

namespace {

using ReadClockFunction = auto(*)(clockid_t, timespec*) -> int;

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr int kUsageError = 2;

[[noreturn]] auto FailToStart(const char* reason) -> void {
  std::fprintf(stderr, "clock_standin: %s\n", reason);
  _exit(kUsageError);
}

auto OpenOffset() -> int {
  const char* const path = std::getenv("HAWTHORNBANK_SOAK_CLOCK");
  if (path == nullptr) {
    FailToStart("HAWTHORNBANK_SOAK_CLOCK isn't set");
  }
  const int file = ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    FailToStart("the file that HAWTHORNBANK_SOAK_CLOCK names can't be opened");
  }
  return file;
}

auto ReadOffset() -> std::int64_t {
  static const int file = OpenOffset();
  std::int64_t offset = 0;
  if (::pread(file, &offset, sizeof offset, 0) != sizeof offset) {
    FailToStart("the file that HAWTHORNBANK_SOAK_CLOCK names can't be read");
  }
  return offset;
}

auto FindRealFunction() -> ReadClockFunction {
  void* const found = ::dlsym(RTLD_NEXT, "clock_gettime");
  if (found == nullptr) {
    FailToStart("the C library has no clock_gettime");
  }
  return reinterpret_cast<ReadClockFunction>(found);
}

}  // namespace

extern "C" __attribute__((visibility("default"))) auto clock_gettime(
    clockid_t clock,
    timespec* time) noexcept -> int {
  static const ReadClockFunction read_clock = FindRealFunction();
  const int result = read_clock(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) {
    const std::int64_t shifted =
        std::int64_t{time->tv_sec} * kNanosecondsPerSecond + time->tv_nsec +
        ReadOffset();
    time->tv_sec = static_cast<std::time_t>(shifted / kNanosecondsPerSecond);
    time->tv_nsec =
        static_cast<decltype(time->tv_nsec)>(shifted % kNanosecondsPerSecond);
  }
  return result;
}
