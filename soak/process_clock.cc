#include "soak/process_clock.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <charconv>
#include <string_view>
#include <utility>

#include "hawthornbank/error.h"

namespace hawthornbank::soak {

ProcessClock::ProcessClock(std::string library, const std::string& name)
    : library_(std::move(library)),
      path_(std::filesystem::temp_directory_path() /
            (name + '-' + std::to_string(::getpid()) + ".clock")) {
  if (!std::filesystem::exists(library_)) {
    throw Error(ErrorKind::kInternal,
                library_ + ": no such library; build the target soak_clock");
  }
  const int file =
      ::open(path_.c_str(), O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
  void* memory = MAP_FAILED;
  if (file >= 0 && ::ftruncate(file, sizeof(std::int64_t)) == 0) {
    memory = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE,
                    MAP_SHARED, file, 0);
  }
  if (file >= 0) {
    ::close(file);
  }
  if (memory == MAP_FAILED) {
    throw Error(ErrorKind::kInternal,
                path_.string() + ": file of a clock can't be written");
  }
  offset_ns_ = static_cast<std::atomic<std::int64_t>*>(memory);
}

ProcessClock::~ProcessClock() {
  ::munmap(offset_ns_, sizeof(std::int64_t));
  std::error_code ec;
  std::filesystem::remove(path_, ec);
}

auto ProcessClock::StepBy(Duration step) -> void {
  offset_ns_->fetch_add(
      std::chrono::duration_cast<std::chrono::nanoseconds>(step).count());
}

auto ProcessClock::offset() const -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::nanoseconds{offset_ns_->load()});
}

auto ProcessClock::GetEnvironment() const -> std::vector<std::string> {
  return {"LD_PRELOAD=" + library_,
          "HAWTHORNBANK_SOAK_CLOCK=" + path_.string()};
}

auto ReadFirstLogTime(const std::string& log) -> std::optional<std::int64_t> {
  constexpr std::string_view kField = "t=";
  if (!log.starts_with(kField) || log.find('\n') == std::string::npos) {
    return std::nullopt;
  }
  std::int64_t time_ms = 0;
  const auto result = std::from_chars(log.data() + kField.size(),
                                      log.data() + log.size(), time_ms);
  return result.ec == std::errc{} ? std::optional(time_ms) : std::nullopt;
}

}  // namespace hawthornbank::soak
