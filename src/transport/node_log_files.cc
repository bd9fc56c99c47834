#include "transport/node_log_files.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <system_error>

#include "hawthornbank/error.h"

namespace hawthornbank::transport {
namespace {

using Path = std::filesystem::path;

constexpr std::size_t kReadBytes = std::size_t{1} << 20U;

// Reads a file in pieces. Returns why it can't be read, or an empty text.
auto ReadLines(const Path& path, const LogLineSplitter::Handler& on_line)
    -> std::string {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  LogLineSplitter splitter(on_line);
  std::string buf(kReadBytes, '\0');
  while (file) {
    file.read(buf.data(), static_cast<std::streamsize>(buf.size()));
    splitter.AppendBytes(std::string_view(buf).substr(
        0,
        static_cast<std::size_t>(std::max<std::streamsize>(file.gcount(), 0))));
  }
  splitter.EndFile();
  return file.eof() ? std::string() : std::generic_category().message(errno);
}

auto HasWord(std::string_view text, std::string_view word) -> bool {
  for (auto at = text.find(word); at != std::string_view::npos;
       at = text.find(word, at + 1)) {
    const auto end = at + word.size();
    if ((at == 0 || text[at - 1] == ' ') &&
        (end == text.size() || text[end] == ' ')) {
      return true;
    }
  }
  return false;
}

// Returns the value of `flow=` in any line, or an empty text.
auto FindFlow(std::string_view text) -> std::string_view {
  constexpr std::string_view kKey = " flow=";
  const auto at = text.find(kKey);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = text.substr(at + kKey.size());
  return rest.substr(0, rest.find(' '));
}

}  // namespace

auto ListLogFiles(const Path& folder) -> std::vector<Path> {
  std::error_code ec;
  std::vector<Path> files;
  for (auto it = std::filesystem::recursive_directory_iterator(folder, ec);
       !ec && it != std::filesystem::recursive_directory_iterator();
       it.increment(ec)) {
    std::error_code type_error;
    const bool is_dangling =
        it->is_symlink(type_error) && !it->exists(type_error);
    if (it->is_regular_file(type_error) || is_dangling) {
      files.push_back(it->path());
    }
  }
  if (ec) {
    throw Error(ErrorKind::kInvalidSettings,
                fmt::format("{}: {}", folder.string(), ec.message()));
  }
  if (files.empty()) {
    throw Error(ErrorKind::kInvalidSettings,
                folder.string() + ": the folder has no files");
  }
  std::sort(files.begin(), files.end());
  return files;
}

auto ReadTimeline(const std::vector<Path>& files, const TimelineQuery& query)
    -> Timeline {
  TimelineCollector collector(query);
  for (const auto& it : files) {
    const std::string failure = ReadLines(
        it, [&](std::string_view text, std::optional<LogLineFault> fault) {
          collector.OnFirstPassLine(text, fault);
        });
    if (failure.empty()) {
      ++collector.counts().files;
    } else {
      collector.counts().unread.push_back(it.string() + ": " + failure);
    }
  }
  if (!collector.BeginSecondPass()) {
    return collector.FinishTimeline();
  }
  for (const auto& it : files) {
    ReadLines(it,
              [&](std::string_view text, std::optional<LogLineFault> fault) {
                if (!fault.has_value()) {
                  collector.OnSecondPassLine(text);
                }
              });
  }
  return collector.FinishTimeline();
}

auto FindFlowsOfRequest(const std::vector<Path>& files, const std::string& id)
    -> std::vector<std::string> {
  const std::string request = "request=" + id;
  const std::string number = "id=#" + id;
  std::vector<std::string> flows;
  for (const auto& it : files) {
    ReadLines(it, [&](std::string_view text, std::optional<LogLineFault>) {
      const std::string flow(FindFlow(text));
      if (!flow.empty() && flows.size() < kMaxRequestFlows &&
          (HasWord(text, request) || HasWord(text, number)) &&
          std::find(flows.begin(), flows.end(), flow) == flows.end()) {
        flows.push_back(flow);
      }
    });
  }
  return flows;
}

auto ParseFlow(const std::string& text) -> FlowKey {
  const auto arrow = text.find('>');
  try {
    if (arrow != std::string::npos) {
      return FlowKey{.caller = ParseEndpoint(text.substr(0, arrow)),
                     .address = ParseEndpoint(text.substr(arrow + 1))};
    }
  } catch (const Error&) {
    // The message below tells the form of the whole text.
  }
  throw Error(ErrorKind::kInvalidSettings,
              "'" + text +
                  "' is not a flow: give CALLER>ADDRESS, such as "
                  "'100.65.0.40:1035>198.18.0.1:8080'");
}

}  // namespace hawthornbank::transport
