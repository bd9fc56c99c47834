#ifndef HAWTHORNBANK_SRC_TRANSPORT_COMMAND_LINE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <functional>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Command lines and exit codes, alike in all programs.
namespace hawthornbank::transport {

/// Parses a command line. No option of any program takes a number below 0.
/// @param command The command line and its arguments.
/// @param words The words, the first of which names the program.
/// @throws Error kInvalidSettings naming the argument and the near match.
/// @throws TCLAP::ExitException after --help and --version.
auto ParseCommandLine(TCLAP::CmdLine& command,
                      const std::vector<std::string>& words) -> void;

/// @param name Name of the program, without its path.
/// @param argc Count of arguments, as main() has it.
/// @param argv Arguments.
/// @return The words of the command line under that name.
auto ToWords(const std::string& name, int argc, char** argv)
    -> std::vector<std::string>;

/// Reads an option that holds an address.
/// @param text "a.b.c.d:port".
/// @param option Name of the option.
/// @return The address.
/// @throws Error kInvalidSettings "--option: why".
auto ReadAddressOption(const std::string& text, const std::string& option)
    -> Endpoint;

/// Runs a program and prints the error that ends it.
/// @param name Name of the program.
/// @param run The program.
/// @return The exit code.
auto RunProgram(const std::string& name, const std::function<void()>& run)
    -> int;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_COMMAND_LINE_H_
