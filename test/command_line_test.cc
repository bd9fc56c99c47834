#include "transport/command_line.h"

#include "run_program.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

/// Checks that a program rejects its command line with exit code 2.
auto CheckProgramRejects(const std::string& program,
                         const std::string& arguments,
                         const std::string& message) -> void {
  const auto ran = test::RunBuiltProgram(program, arguments);
  LONGS_EQUAL_TEXT(2, ran.exit_code, arguments.c_str());
  STRCMP_CONTAINS_TEXT(message.c_str(), ran.output.c_str(), arguments.c_str());
  CHECK_TEXT(ran.output.find("USAGE") == std::string::npos, arguments.c_str());
}

auto CheckLoadToolRejects(const std::string& arguments,
                          const std::string& message) -> void {
  CheckProgramRejects("apps/hawthornload", arguments, message);
}

auto CheckTargetStandInRejects(const std::string& arguments,
                               const std::string& message) -> void {
  CheckProgramRejects("standins/standin_target", arguments, message);
}

auto CheckFabricStandInRejects(const std::string& arguments,
                               const std::string& message) -> void {
  CheckProgramRejects("standins/standin_fabric", arguments, message);
}

const std::string kService = "--service fitquote=127.0.0.1:1 ";
const std::string kTarget =
    "--listen 127.0.0.1:1 --stats 127.0.0.1:1 --kind fitquote ";
const std::string kFabric =
    "--return 127.0.0.1:1 --stats 127.0.0.1:1 --balancer 127.0.0.1:2 ";

}  // namespace

TEST_GROUP(CommandLine){};

TEST(CommandLine, EachProgramPrintsHelp) {
  for (const auto* const program :
       {"apps/hawthornd", "apps/hawthornload", "apps/hawthornctl",
        "standins/standin_platform", "standins/standin_target",
        "standins/standin_fabric"}) {
    const auto ran = test::RunBuiltProgram(program, "--help");
    LONGS_EQUAL_TEXT(0, ran.exit_code, program);
    CHECK_TEXT(!ran.output.empty(), program);
  }
}

TEST(CommandLine, DaemonRejectsInvalidArguments) {
  const auto check = [](const char* arguments, const char* message) {
    CheckProgramRejects("apps/hawthornd", arguments, message);
  };
  check("", "hawthornd: Required arguments missing: config, role");
  check("--role balancer", "Required argument missing: config");
  check("--role balncer --config x", "'balncer' does not meet constraint");
  check("--role balancer --config x --chekc", "did you mean '--check'?");
  check("--role balancer --config x extra", "'extra' is not expected here");
  check("--role balancer --role agent --config x", "already set");
  check("--role balancer --config", "--config) Missing a value");
  check("--role balancer --config /nonexistent", "/nonexistent:0: the file");
  check("--role agent --config " TEST_DATA_DIR "/examples/balancer.ini",
        "target.service: missing; role agent needs it");
  check("--role balancer --config " TEST_DATA_DIR "/examples",
        "can't be read or is empty");
}

TEST(CommandLine, LoadToolRejectsInvalidArguments) {
  CheckLoadToolRejects("", "Required argument missing: service");
  CheckLoadToolRejects(kService, "nothing to do: give --watches");
  CheckLoadToolRejects("--service fitqoute=127.0.0.1:1",
                       "is not SERVICE=ADDRESS:PORT");
  CheckLoadToolRejects(
      "--service fitquote=127.0.0.1:99999",
      "--service fitquote: '127.0.0.1:99999' is not an address");
  CheckLoadToolRejects(kService + kService + "--rate 1",
                       "fitquote is given twice");
  CheckLoadToolRejects(kService + "--sekonds 3", "did you mean '--seconds'?");
  CheckLoadToolRejects(kService + "--rate 1 --seconds -1",
                       "--seconds: '-1' is below 0");
  CheckLoadToolRejects(kService + "--rate 1 --seconds 1e300",
                       "--seconds: 1e+300 is out");
  CheckLoadToolRejects(kService + "--watches -1", "--watches: '-1' is below 0");
  CheckLoadToolRejects(kService + "--uploads 1.5",
                       "Couldn't read argument value");
  CheckLoadToolRejects(kService + "--rate 1 extra",
                       "'extra' is not expected here");
  CheckLoadToolRejects(
      kService + "--rate 1 --report /nonexistent/x --seconds 9",
      "--report: can't write '/nonexistent/x'");
  CheckLoadToolRejects(kService + "--rate 1 --upload-bytes 0",
                       "--upload-bytes: 0 is out");
  CheckLoadToolRejects(kService + "--rate 1 --scale 0",
                       "--scale: 0 is out of range");
}

TEST(CommandLine, LoadToolRejectsInvalidSheets) {
  const std::string examples = TEST_DATA_DIR "/examples";
  CheckLoadToolRejects(kService + "--sheet /nonexistent",
                       "can't read the sheet");
  CheckLoadToolRejects(kService + "--sheet " + examples,
                       "can't read the sheet");
  CheckLoadToolRejects(kService + "--sheet " + examples + "/tezontle.csv",
                       "holds no demand of service 'fitquote'");
  CheckLoadToolRejects(
      kService + "--rate 1 --sheet " + examples + "/trentmoor.csv",
      "--sheet sets the rates");
  CheckLoadToolRejects(
      kService + "--day 2026-13-45 --sheet " + examples + "/trentmoor.csv",
      "--day: there is no day '2026-13-45'");
}

TEST(CommandLine, PlatformStandInRejectsInvalidArguments) {
  const auto check = [](const char* arguments, const char* message) {
    CheckProgramRejects("standins/standin_platform", arguments, message);
  };
  check("", "Required argument missing: listen");
  check("--listen", "Missing a value");
  check("--listen abc", "--listen: 'abc' is not an address");
  check("--listen 127.0.0.1:99999", "--listen: '127.0.0.1:99999'");
  check("--lisen 127.0.0.1:1", "did you mean '--listen'?");
  check("--listen 127.0.0.1:1 extra", "'extra' is not expected here");
  check("--listen 192.0.2.1:7400", "can't listen on 192.0.2.1:7400");
}

TEST(CommandLine, TargetStandInRejectsInvalidArguments) {
  CheckTargetStandInRejects(
      "", "Required arguments missing: kind, name, stats, listen");
  CheckTargetStandInRejects("--slot 3", "did you mean '--slots'?");
  CheckTargetStandInRejects(kTarget + "--name a --slots -3",
                            "--slots: '-3' is below 0");
  CheckTargetStandInRejects(kTarget + "--name a --slots 0",
                            "--slots: must be above 0");
  CheckTargetStandInRejects(kTarget + "--name a --service-ms -5",
                            "'-5' is below 0");
  CheckTargetStandInRejects(kTarget + "--name 'a b'", "'a b' is not a name");
  CheckTargetStandInRejects("--listen x --stats 127.0.0.1:1 --kind a --name a",
                            "--listen: 'x' is not an address");
  CheckTargetStandInRejects("--listen 127.0.0.1:1 --stats x --kind a --name a",
                            "--stats: 'x' is not an address");
}

TEST(CommandLine, FabricStandInRejectsInvalidArguments) {
  CheckFabricStandInRejects("", "Required arguments missing");
  CheckFabricStandInRejects("--los 1", "did you mean '--loss'?");
  CheckFabricStandInRejects(kFabric + "--service 192.0.2.1:7 --loss 2",
                            "--loss: is out of range: 0 to 1");
  CheckFabricStandInRejects(kFabric + "--service 192.0.2.1:7 --delay-ms -4",
                            "--delay-ms: '-4' is below 0");
  CheckFabricStandInRejects(kFabric + "--service 192.0.2.1:7 --seed -1",
                            "--seed: '-1' is below 0");
  CheckFabricStandInRejects(
      kFabric + "--service 192.0.2.1:7 --service 192.0.2.1:7",
      "--service: 192.0.2.1:7 is given twice");
  CheckFabricStandInRejects(kFabric + "--service x",
                            "--service: 'x' is not an address");
  CheckFabricStandInRejects(kFabric + "--service 192.0.2.1:7",
                            "can't bind 192.0.2.1:7");
}
