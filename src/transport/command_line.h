#ifndef HAWTHORNBANK_SRC_TRANSPORT_COMMAND_LINE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <functional>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Command-line parsing, error messages and exit codes shared by all programs.
namespace hawthornbank::transport {

/// Parses a command line. Rejects negative numbers, because no option of any
/// program takes a number below 0.
/// @param command The command line and its arguments.
/// @param words The words of the command line; the first is the program's name.
/// @throws Error kInvalidSettings that names the argument and, for an unknown
///         option, the most similar known one.
/// @throws TCLAP::ExitException after --help and --version.
auto ParseCommandLine(TCLAP::CmdLine& command,
                      const std::vector<std::string>& words) -> void;

/// Converts the arguments of main() to words.
/// @param name Name of the program, without its path.
/// @param argc Argument count of main().
/// @param argv Argument vector of main().
/// @return The arguments, with the program's path replaced by `name`.
auto ConvertArgumentsToWords(const std::string& name, int argc, char** argv)
    -> std::vector<std::string>;

/// Reads an option that holds an address.
/// @param text "a.b.c.d:port".
/// @param option Name of the option.
/// @return The address.
/// @throws Error kInvalidSettings with the message "--option: reason".
auto ReadEndpointOption(const std::string& text, const std::string& option)
    -> Endpoint;

/// Runs a program and prints the error that ends it to standard error.
/// @param name Name of the program.
/// @param run Body of the program.
/// @return The exit code.
auto RunAndReportErrors(const std::string& name,
                        const std::function<void()>& run) -> int;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_COMMAND_LINE_H_
