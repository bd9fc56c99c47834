#ifndef HAWTHORNBANK_TEST_RUN_PROGRAM_H_
#define HAWTHORNBANK_TEST_RUN_PROGRAM_H_

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <string>

/// @file
/// Runs programs from the build directory of the running test.
namespace hawthornbank::test {

/// Exit code of a program, and standard output and error in one text.
struct ProgramResult {
  int exit_code = -1;
  std::string output;
};

/// Runs a program through the shell and waits until the program exits. The
/// environment has USER=ana and no variables with addresses for hawthornctl.
/// @param program Path in the build directory, such as "apps/hawthornctl".
/// @param arguments Arguments, quoted for the shell.
/// @return Exit code, or -1 if the shell didn't start, and output.
inline auto RunBuiltProgram(const std::string& program,
                            const std::string& arguments) -> ProgramResult {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  const auto path = self.parent_path().parent_path() / program;
  const std::string line =
      "env -u HAWTHORNCTL_PLATFORM -u HAWTHORNCTL_BALANCERS -u "
      "HAWTHORNCTL_AGENTS USER=ana " +
      path.string() + " " + arguments + " 2>&1";
  ProgramResult result;
  FILE* const pipe = popen(line.c_str(), "r");
  if (pipe == nullptr) {
    return result;
  }
  std::array<char, 4096> buf = {};
  while (const auto n = fread(buf.data(), 1, buf.size(), pipe)) {
    result.output.append(buf.data(), n);
  }
  result.exit_code = WEXITSTATUS(pclose(pipe));
  return result;
}

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_RUN_PROGRAM_H_
