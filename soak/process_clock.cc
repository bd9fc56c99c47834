#include "soak/process_clock.h"

#include <fcntl.h>
#include <unistd.h>

#include <charconv>
#include <string_view>

#include "hawthornbank/error.h"

namespace hawthornbank::soak {

ProcessClock::ProcessClock(const std::string& name)
    : path_(std::filesystem::temp_directory_path() /
            (name + '-' + std::to_string(::getpid()) + ".clock")),
      file_(::open(path_.c_str(),
                   O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC,
                   0600)) {
  WriteOffset();
}

ProcessClock::~ProcessClock() {
  ::close(file_);
  std::error_code ec;
  std::filesystem::remove(path_, ec);
}

auto ProcessClock::WriteOffset() const -> void {
  const std::int64_t offset_ns = offset_.count();
  if (::pwrite(file_, &offset_ns, sizeof offset_ns, 0) != sizeof offset_ns) {
    throw Error(ErrorKind::kInternal,
                path_.string() + ": file of a clock can't be written");
  }
}

auto ProcessClock::StepBy(Duration step) -> void {
  offset_ += step;
  WriteOffset();
}

auto ProcessClock::GetEnvironment() const -> std::vector<std::string> {
  return {"HAWTHORNBANK_SOAK_CLOCK=" + path_.string()};
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
