#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

/// @file
/// Prints the time of day in Unix milliseconds. With an argument, waits until
/// the time of day has advanced by this number of seconds, at most ten seconds,
/// and prints the seconds by which it has.

namespace {

using std::chrono::system_clock;

auto WaitForAdvance(std::chrono::seconds advance) -> std::chrono::seconds {
  constexpr std::chrono::milliseconds kInterval{10};
  constexpr int kChecks = 1000;
  const auto start = system_clock::now();
  for (int n = 0; n < kChecks && system_clock::now() - start < advance; ++n) {
    std::this_thread::sleep_for(kInterval);
  }
  return std::chrono::duration_cast<std::chrono::seconds>(system_clock::now() -
                                                          start);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc > 1) {
    std::cout
        << WaitForAdvance(std::chrono::seconds{std::atoll(argv[1])}).count()
        << '\n';
    return 0;
  }
  std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(
                   system_clock::now().time_since_epoch())
                   .count()
            << '\n';
  return 0;
}
