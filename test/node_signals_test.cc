#include <CppUTest/TestHarness.h>

#include <csignal>
#include <optional>
#include <string>
#include <thread>

#include "agent_settings.h"
#include "soak/node_process.h"
#include "starting_process.h"

// Sends signals to the program `hawthornnode` at moments at which no role
// waits for them.

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kHost = 0x7F000141;

}  // namespace

TEST_GROUP(NodeSignals) {
  soak::HostPorts ports = soak::FindFreePorts(kHost);

  auto BuildSettings(const std::string& service)->std::string {
    return test::FormatAgentSettings(ports, kHost, service);
  }

  static auto CountLines(const soak::NodeProcess& process,
                         const std::string& text)
      ->int {
    const std::string log = process.ReadLogFile();
    int count = 0;
    for (auto at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1)) {
      ++count;
    }
    return count;
  }

  void setup() override {
    ::signal(SIGPIPE, SIG_IGN);
  }
};

// Guards against a process that ends because its settings change while it
// starts.
TEST(NodeSignals, HangUpBeforeTheFirstRoleReadsTheSettingsAgain) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.SendSignal(SIGHUP);
  std::this_thread::sleep_for(20 * kPause);
  CHECK_FALSE(process.PollExitCode().has_value());
  process.WriteSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=start "));
  CHECK(process.WaitForReader());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=reload cause=signal"));
  process.SendSignal(SIGTERM);
  CHECK(WaitUntil([&] { return process.PollExitCode().has_value(); }));
  LONGS_EQUAL(0, *process.PollExitCode());
}

TEST(NodeSignals, TerminationBeforeTheFirstRoleStopsIt) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.SendSignal(SIGTERM);
  std::this_thread::sleep_for(20 * kPause);
  CHECK_FALSE(process.PollExitCode().has_value());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(WaitUntil([&] { return process.PollExitCode().has_value(); }));
  LONGS_EQUAL(0, *process.PollExitCode());
}

// Guards against a process that goes on after SIGTERM, as the signal was read
// together with one that made it another node.
TEST(NodeSignals, TerminationReadWithAChangeOfIdentityStopsTheProcess) {
  soak::NodeProcess process(HAWTHORNNODE, BuildSettings("s"), "signals");
  CHECK(WaitUntil([&] { return CountLines(process, "event=start ") == 1; }));
  process.SendSignal(SIGSTOP);
  process.WriteSettingsFile(BuildSettings("t"));
  process.SendSignal(SIGHUP);
  process.SendSignal(SIGTERM);
  process.SendSignal(SIGCONT);
  std::optional<int> code;
  CHECK(WaitUntil([&] {
    code = code.has_value() ? code : process.PollExitCode();
    return code.has_value() || CountLines(process, "event=start ") > 1;
  }));
  LONGS_EQUAL(0, code.value_or(-1));
}

TEST(NodeSignals, TerminationWhileAnAddressIsInUseIsLogged) {
  soak::NodeProcess former(HAWTHORNNODE, BuildSettings("s"), "former");
  CHECK(WaitUntil([&] { return CountLines(former, "event=start ") == 1; }));
  soak::NodeProcess process(HAWTHORNNODE, BuildSettings("t"), "waiting");
  CHECK(WaitUntil([&] { return CountLines(process, "bind_failed") == 1; }));
  process.SendSignal(SIGTERM);
  std::optional<int> code;
  CHECK(WaitUntil([&] {
    code = code.has_value() ? code : process.PollExitCode();
    return code.has_value();
  }));
  LONGS_EQUAL(0, *code);
  LONGS_EQUAL(1, CountLines(process, "event=stop cause=bind"));
}
