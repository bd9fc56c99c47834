#include "transport/settings.h"

#include <cstring>

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::transport;

namespace {

constexpr auto kKey =
    "000102030405060708090a0b0c0d0e0f101112131415161718191A1B1C1D1E1F";

auto MakeBalancerIni() -> std::string {
  return std::string("[host]\nname = b1\nzone = z1\n") +
         "[listen]\npackets = 0.0.0.0:7000\npeer = 127.0.0.1:7001\n" +
         "metrics = 127.0.0.1:7001\n[platform]\naddress = 127.0.0.1:7002\n" +
         "[key]\ncurrent = " + kKey + "\n";
}

auto GetSettingsFaults(const std::string& text, Role role = Role::kBalancer)
    -> std::string {
  try {
    ParseSettings(text, "f.ini", role);
  } catch (const Error& error) {
    CHECK(ErrorKind::kInvalidSettings == error.kind());
    return error.what();
  }
  return "";
}

/// Checks the fault reported for a valid balancer file with `line` appended.
auto CheckReportedFault(const char* line, const char* fault) -> void {
  STRCMP_EQUAL(fault, GetSettingsFaults(MakeBalancerIni() + line).c_str());
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, ExampleFilesAreRead) {
  const std::string examples = TEST_DATA_DIR "/examples/";
  const auto balancer =
      ReadSettingsFile(examples + "balancer.ini", Role::kBalancer);
  STRCMP_EQUAL("entry-1", balancer.name.c_str());
  LONGS_EQUAL(3, balancer.balancers.size());
  LONGS_EQUAL(7001, balancer.packets.port);
  CHECK(std::chrono::hours{1} == balancer.drain_limit);
  const auto agent = ReadSettingsFile(examples + "agent.ini", Role::kAgent);
  STRCMP_EQUAL("fitquote", agent.service.c_str());
  STRCMP_EQUAL("json", agent.log_layout.c_str());
  LONGS_EQUAL(7501, agent.target_address.port);
}

TEST(Settings, DefaultsAreAppliedAndTheKeyIsLowercased) {
  const auto settings = ParseSettings("\xEF\xBB\xBF" + MakeBalancerIni(),
                                      "f.ini", Role::kBalancer);
  STRCMP_EQUAL("main", settings.region.c_str());
  LONGS_EQUAL(10, settings.retry_budget_percent);
  CHECK(settings.execute_plan);
  CHECK(settings.key.ends_with("1a1b1c1d1e1f"));
}

TEST(Settings, ErrorListsAllFaultsInTheOrderOfLines) {
  const char* const text =
      "[host]\nname = b 1\nzone\n[listn]\npeer = 127.0.0.1:70000\n"
      "[listen]\npacket = 127.0.0.1:1\n]\n";
  STRCMP_EQUAL(
      "f.ini:0: host.zone: missing; role balancer needs it\n"
      "f.ini:0: listen.packets: missing; role balancer needs it\n"
      "f.ini:0: listen.peer: missing; role balancer needs it\n"
      "f.ini:0: listen.metrics: missing; role balancer needs it\n"
      "f.ini:0: platform.address: missing; role balancer needs it\n"
      "f.ini:0: key.current: missing; role balancer needs it\n"
      "f.ini:2: host.name: 'b 1' is not a name: letters, digits, '.', '-' and "
      "'_', at most 63\n"
      "f.ini:3: neither a [section] nor a key = value\n"
      "f.ini:5: listn.peer: unknown section [listn]; did you mean 'listen'?\n"
      "f.ini:7: listen.packet: unknown key; did you mean 'packets'?\n"
      "f.ini:8: neither a [section] nor a key = value",
      GetSettingsFaults(text).c_str());
}

TEST(Settings, DuplicateKeysWrongUnitsAndRangesAreReported) {
  CheckReportedFault("current = 00",
                     "f.ini:12: key.current: duplicate key, first on line 11");
  CheckReportedFault(
      "[limits]\ndrain_limit_s = 30m",
      "f.ini:13: limits.drain_limit_s: '30m' is not a whole number of "
      "seconds, written without a unit");
  CheckReportedFault("[limits]\ndrain_limit = 30",
                     "f.ini:13: limits.drain_limit: unknown key; did you mean "
                     "'drain_limit_s'?");
  CheckReportedFault(
      "[limits]\nretry_budget_percent = 101",
      "f.ini:13: limits.retry_budget_percent: '101' is out of range: 0 "
      "to 100 percent");
  CheckReportedFault(
      "[limits]\nworkers = 99999999999999999999",
      "f.ini:13: limits.workers: '99999999999999999999' is out of "
      "range: 1 to 64");
  CheckReportedFault(
      "[log]\nlevel = inof",
      "f.ini:13: log.level: 'inof' is not one of trace, debug, info, warn, "
      "error; did you mean 'info'?");
  CheckReportedFault("[log]\nzone = z",
                     "f.ini:13: log.zone: unknown key; it belongs in [host]");
}

TEST(Settings, InvalidAndConflictingEndpointsAreReported) {
  CheckReportedFault(
      "[peers]\nbalancers = 10.0.0.1:70000",
      "f.ini:13: peers.balancers: '10.0.0.1:70000' is not an address "
      "like 10.0.0.1:5683");
  CheckReportedFault(
      "[peers]\nbalancers = 10.0.0.1:0",
      "f.ini:13: peers.balancers: '10.0.0.1:0' has port 0; ports are 1 "
      "to 65535");
  CheckReportedFault("[peers]\nbalancers = 10.0.0.1:1, 10.0.0.1:1",
                     "f.ini:13: peers.balancers: 10.0.0.1:1 is listed twice");
  CheckReportedFault("[target]\nservice = x",
                     "f.ini:13: target.service: not a key of role balancer");
  std::string text = MakeBalancerIni();
  text.replace(text.find(":7000"), 5, ":7001");
  STRCMP_EQUAL("f.ini:6: listen.peer: 127.0.0.1:7001 is also listen.packets",
               GetSettingsFaults(text).c_str());
}

TEST(Settings, AgentMustNotListItselfAsSeed) {
  const std::string text =
      std::string("[host]\nname = a\nzone = z\n[listen]\npeer=10.0.0.1:7\n") +
      "[peers]\nbalancers = 10.0.0.1:7\n[key]\ncurrent = " + kKey +
      "\nprevious = " + kKey + "\n[platform]\naddress = 10.0.0.1:7" +
      "\n[target]\nservice = s\naddress = 10.0.0.1:8\nreturn = 10.0.0.1:8\n";
  STRCMP_EQUAL(
      "f.ini:7: peers.balancers: 10.0.0.1:7 is this agent's own listen.peer\n"
      "f.ini:10: key.previous: the same as key.current\n"
      "f.ini:16: target.return: 10.0.0.1:8 is also target.address",
      GetSettingsFaults(text, Role::kAgent).c_str());
}

TEST(Settings, ErrorMessagesNeverContainAKey) {
  const std::string faults = GetSettingsFaults("[key]\ncurrent = 00ffsecret\n");
  CHECK(faults.find("secret") == std::string::npos);
  CHECK(faults.find("key.current: is not 64") != std::string::npos);
}

TEST(Settings, LongLinesAreRejectedAndNotTruncated) {
  const std::string faults =
      GetSettingsFaults(MakeBalancerIni() + "[peers]\nbalancers = 10.0.0.1:1" +
                        std::string(300, ' ') + ",10.0.0.2:2\n");
  CHECK(faults.starts_with("f.ini:13: the line is longer than"));
}

TEST(Settings, MissingFileIsReported) {
  try {
    ReadSettingsFile("/nonexistent/f.ini", Role::kAgent);
    FAIL("no error");
  } catch (const Error& error) {
    CHECK(std::strstr(error.what(), "/nonexistent/f.ini:0: ") != nullptr);
  }
}

TEST(Settings, PlanExecutionCanBeDisabled) {
  const auto settings =
      ParseSettings(MakeBalancerIni() + "[plan]\nexecute = false\n", "f.ini",
                    Role::kBalancer);
  CHECK(!settings.execute_plan);
  const std::string fault =
      GetSettingsFaults(MakeBalancerIni() + "[plan]\nexecute = perhaps\n");
  STRCMP_CONTAINS("plan.execute: ", fault.c_str());
}
