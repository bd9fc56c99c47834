#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>

/// @file
/// Library that is preloaded into a process to shift the process's time of day.
/// The environment variable HAWTHORNBANK_SOAK_CLOCK names a file that holds the
/// shift in nanoseconds; see soak/process_clock.h. Other clocks aren't changed.
/// The library is built without the project's other code, so that it can be
/// loaded into any program.

namespace {

using ReadClockFunction = auto(*)(clockid_t, timespec*) -> int;

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr int kUsageError = 2;

[[noreturn]] auto FailToLoad(const char* reason) -> void {
  std::fprintf(stderr, "clock_standin: %s\n", reason);
  _exit(kUsageError);
}

auto MapOffset() -> const std::atomic<std::int64_t>* {
  const char* const path = std::getenv("HAWTHORNBANK_SOAK_CLOCK");
  if (path == nullptr) {
    FailToLoad("HAWTHORNBANK_SOAK_CLOCK isn't set");
  }
  const int file = ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    FailToLoad("the file that HAWTHORNBANK_SOAK_CLOCK names can't be opened");
  }
  void* const memory =
      ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
  ::close(file);
  if (memory == MAP_FAILED) {
    FailToLoad("the file that HAWTHORNBANK_SOAK_CLOCK names can't be mapped");
  }
  return static_cast<const std::atomic<std::int64_t>*>(memory);
}

auto FindRealFunction() -> ReadClockFunction {
  void* const found = ::dlsym(RTLD_NEXT, "clock_gettime");
  if (found == nullptr) {
    FailToLoad("the C library has no clock_gettime");
  }
  return reinterpret_cast<ReadClockFunction>(found);
}

}  // namespace

extern "C" __attribute__((visibility("default"))) auto clock_gettime(
    clockid_t clock,
    timespec* time) noexcept -> int {
  static const ReadClockFunction read_clock = FindRealFunction();
  static const std::atomic<std::int64_t>* const offset = MapOffset();
  const int result = read_clock(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) {
    const std::int64_t shifted =
        std::int64_t{time->tv_sec} * kNanosecondsPerSecond + time->tv_nsec +
        offset->load(std::memory_order_relaxed);
    time->tv_sec = static_cast<std::time_t>(shifted / kNanosecondsPerSecond);
    time->tv_nsec =
        static_cast<decltype(time->tv_nsec)>(shifted % kNanosecondsPerSecond);
  }
  return result;
}
