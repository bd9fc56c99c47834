#include <CppUTest/CommandLineTestRunner.h>

auto main(int argc, char** argv) -> int {
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
