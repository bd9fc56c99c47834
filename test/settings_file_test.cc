#include <CppUTest/TestHarness.h>

#include <csignal>
#include <string>
#include <thread>

#include "agent_settings.h"
#include "starting_process.h"

// Changes the settings file of the program `hawthornnode` without a signal.

using namespace hawthornbank;
using namespace hawthornbank::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kHost = 0x7F000161;

}  // namespace

TEST_GROUP(SettingsFile) {
  soak::HostPorts ports = soak::FindFreePorts(kHost);

  auto BuildSettings(const std::string& service)->std::string {
    return test::FormatAgentSettings(ports, kHost, service);
  }

  void setup() override {
    ::signal(SIGPIPE, SIG_IGN);
  }
};

// Guards against a half-written file that is never read again: the rest was
// written within the resolution of the file's modification time.
TEST(SettingsFile, FileThatCouldntBeReadIsReadAgain) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  const std::string whole = BuildSettings("t");
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=start "));
  const auto time =
      process.ReplaceFile(whole.substr(0, whole.find("data_addr") + 12));
  CHECK(process.WaitForLogLine("event=reload_failed cause=file"));
  process.ReplaceFile(whole, time);
  CHECK(process.WaitForLogLine("event=identity_changed cause=file"));
  LONGS_EQUAL(1, process.CountLogLines("event=reload_failed"));
}

// Guards against a change that is never read, as it came while a process was
// starting with the settings before.
TEST(SettingsFile, ChangeWhileTheProcessStartsIsRead) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.WriteSettings(BuildSettings("s"), BuildSettings("t"));
  CHECK(process.WaitForLogLine("event=identity_changed cause=file"));
}

// Guards against a change that is never read, as the file has the modification
// time of the one before: both were written within the resolution of the time,
// or a copy kept it.
TEST(SettingsFile, ChangeWithTheSameModificationTimeIsRead) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=start "));
  const auto time = process.ReplaceFile(BuildSettings("s") + "\n");
  CHECK(process.WaitForLogLine("event=reload cause=file"));
  process.ReplaceFile(BuildSettings("t"), time);
  CHECK(process.WaitForLogLine("event=identity_changed cause=file"));
}

// Guards against an operator who isn't told that a rejected file has been
// replaced by the one in force.
TEST(SettingsFile, FileThatIsPutBackIsLogged) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=start "));
  process.ReplaceFile("node = ");
  CHECK(process.WaitForLogLine("event=reload_failed cause=file"));
  const int reloads = process.CountLogLines("event=reload cause=file");
  process.ReplaceFile(BuildSettings("s"));
  CHECK(process.WaitForLogLines("event=reload cause=file", reloads + 1));
  process.ReplaceFile("node = ");
  CHECK(process.WaitForLogLines("event=reload_failed cause=file", 2));
  CHECK_FALSE(process.PollExitCode().has_value());
}

TEST(SettingsFile, FileThatStaysWrongIsLoggedOnce) {
  StartingProcess process;
  CHECK(process.WaitForReader());
  process.WriteLastSettings(BuildSettings("s"));
  CHECK(process.WaitForLogLine("event=start "));
  process.ReplaceFile("node = ");
  CHECK(process.WaitForLogLine("event=reload_failed"));
  std::this_thread::sleep_for(1200ms);
  LONGS_EQUAL(1, process.CountLogLines("event=reload_failed"));
  process.SendSignal(SIGHUP);
  CHECK(process.WaitForLogLine("event=reload_failed cause=signal"));
  std::this_thread::sleep_for(600ms);
  LONGS_EQUAL(2, process.CountLogLines("event=reload_failed"));
  CHECK_FALSE(process.PollExitCode().has_value());
}
