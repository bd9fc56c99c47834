#include "transport/command_line.h"

#include <algorithm>
#include <cctype>
#include <iostream>
#include <sstream>

#include "hawthornbank/error.h"
#include "protocol/near_match.h"

namespace hawthornbank::transport {
namespace {

using Words = std::vector<std::string>;

[[noreturn]] auto ThrowUsageError(const Words& words, const std::string& reason)
    -> void {
  throw Error(ErrorKind::kInvalidSettings,
              reason + "\nTry: " + words.front() + " --help");
}

/// @return The names of all options, used to suggest similar ones.
auto ListOptionNames(TCLAP::CmdLine& command) -> Words {
  Words names;
  for (auto* const it : command.getArgList()) {
    names.push_back("--" + it->getName());
  }
  return names;
}

/// Rejects unknown options, which TCLAP would treat as file names.
auto RejectUnknownOptions(TCLAP::CmdLine& command, const Words& words) -> void {
  const Words known = ListOptionNames(command);
  for (const auto& it : words) {
    const std::string option = it.substr(0, it.find('='));
    const bool is_option = option.size() > 2 && option.starts_with("--");
    if (is_option &&
        std::find(known.begin(), known.end(), option) == known.end()) {
      ThrowUsageError(words, "unknown option '" + option + "'" +
                                 FormatSuggestion(option, known));
    }
  }
}

/// Rejects negative numbers, which TCLAP would wrap around to large positive
/// ones.
auto RejectNegativeNumbers(const Words& words) -> void {
  for (std::size_t n = 1; n < words.size(); ++n) {
    const std::string& word = words[n];
    if (word.size() > 1 && word[0] == '-' &&
        std::isdigit(static_cast<unsigned char>(word[1])) != 0) {
      ThrowUsageError(words, words[n - 1] + ": '" + word + "' is below 0");
    }
  }
}

/// @return The message of a TCLAP error on one line, without TCLAP's line
///         breaks.
auto FormatTclapError(const TCLAP::ArgException& error) -> std::string {
  constexpr auto kUnmatched = "Couldn't find match for argument";
  constexpr std::string_view kPrefix = "Argument: ";
  std::string id = error.argId();
  if (id.starts_with(kPrefix)) {
    id.erase(0, kPrefix.size());
  }
  if (error.error() == kUnmatched) {
    return "'" + id + "' is not expected here";
  }
  std::istringstream stream(id + " " + error.error());
  std::string result;
  for (std::string word; stream >> word;) {
    result += (result.empty() ? "" : " ") + word;
  }
  return result;
}

}  // namespace

auto ParseCommandLine(TCLAP::CmdLine& command,
                      const std::vector<std::string>& words) -> void {
  command.setExceptionHandling(false);
  RejectUnknownOptions(command, words);
  RejectNegativeNumbers(words);
  try {
    Words copy = words;  // TCLAP removes the first word.
    command.parse(copy);
  } catch (const TCLAP::ArgException& error) {
    ThrowUsageError(words, FormatTclapError(error));
  }
}

auto ConvertArgumentsToWords(const std::string& name, int argc, char** argv)
    -> std::vector<std::string> {
  Words words(argv + 1, argv + argc);
  words.insert(words.begin(), name);
  return words;
}

auto ReadEndpointOption(const std::string& text, const std::string& option)
    -> Endpoint {
  try {
    return ParseEndpoint(text);
  } catch (const Error& error) {
    throw Error(error.kind(), "--" + option + ": " + error.what());
  }
}

auto RunAndReportErrors(const std::string& name,
                        const std::function<void()>& run) -> int {
  try {
    run();
    return 0;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const Error& error) {
    std::cerr << name << ": " << error.what() << '\n';
    return LookUpErrorAnswer(error.kind()).exit_code;
  } catch (const std::exception& error) {
    std::cerr << name << ": internal error: " << error.what() << '\n';
    return LookUpErrorAnswer(ErrorKind::kInternal).exit_code;
  }
}

}  // namespace hawthornbank::transport
