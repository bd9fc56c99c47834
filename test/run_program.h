#ifndef HAWTHORNBANK_TEST_RUN_PROGRAM_H_
#define HAWTHORNBANK_TEST_RUN_PROGRAM_H_

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <string>

/// @file
/// Runs the programs of the build that a test belongs to.
namespace hawthornbank::test {

/// Exit code and both outputs of one run.
struct Ran {
  int code = -1;
  std::string text;
};

/// Runs a program of the build.
/// @param program Its path in the build directory, as "apps/hawthornctl".
/// @param arguments Arguments, for the shell.
/// @return How it ended.
inline auto RunProgram(const std::string& program, const std::string& arguments)
    -> Ran {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  const auto path = self.parent_path().parent_path() / program;
  const std::string line =
      "env -u HAWTHORNCTL_PLATFORM -u HAWTHORNCTL_BALANCERS -u "
      "HAWTHORNCTL_AGENTS USER=ana " +
      path.string() + " " + arguments + " 2>&1";
  Ran ran;
  FILE* const pipe = popen(line.c_str(), "r");
  if (pipe == nullptr) {
    return ran;
  }
  std::array<char, 4096> buf = {};
  while (const auto n = fread(buf.data(), 1, buf.size(), pipe)) {
    ran.text.append(buf.data(), n);
  }
  ran.code = WEXITSTATUS(pclose(pipe));
  return ran;
}

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_RUN_PROGRAM_H_
