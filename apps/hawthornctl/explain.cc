#include <fmt/format.h>

#include <iostream>

#include "arguments.h"
#include "hawthornbank/error.h"
#include "transport/node_log_files.h"
#include "transport/node_log_report.h"
#include "transport/version.h"

namespace hawthornbank::hawthornctl {
namespace {

using Path = std::filesystem::path;

// Arguments that choose lines.
struct ExplainArguments {
  explicit ExplainArguments(TCLAP::CmdLine& command)
      : flow("",
             "flow",
             "Address and port of the caller and of the service",
             false,
             "",
             "CALLER>ADDRESS",
             command),
        request("",
                "request",
                "Request whose flow a caller's or target's line names",
                false,
                "",
                "ID",
                command),
        opening("",
                "opening",
                "Only this opening of the caller's port",
                false,
                0,
                "NUMBER",
                command),
        from("", "from", "First time of a line", false, 0, "UNIX_MS", command),
        to("", "to", "Last time of a line", false, 0, "UNIX_MS", command),
        window("",
               "window",
               "Time around the flow's lines from which other lines are taken",
               false,
               5,
               "SECONDS",
               command),
        json("", "json", "Print the result as JSON", command),
        folder("folder",
               "Folder with the logs of balancers and agents",
               true,
               "",
               "FOLDER",
               command) {}

  TCLAP::ValueArg<std::string> flow;
  TCLAP::ValueArg<std::string> request;
  TCLAP::ValueArg<std::int64_t> opening;
  TCLAP::ValueArg<std::int64_t> from;
  TCLAP::ValueArg<std::int64_t> to;
  TCLAP::ValueArg<unsigned> window;
  TCLAP::SwitchArg json;
  TCLAP::UnlabeledValueArg<std::string> folder;
};

auto ReadOptional(const TCLAP::ValueArg<std::int64_t>& argument)
    -> std::optional<std::int64_t> {
  return argument.isSet() ? std::optional(argument.getValue()) : std::nullopt;
}

// Returns the flow that --flow gives or that a line with the request names.
auto ChooseFlow(const ExplainArguments& arguments,
                const std::vector<Path>& files) -> std::string {
  if (arguments.flow.isSet() == arguments.request.isSet()) {
    throw Error(ErrorKind::kInvalidSettings, "give either --flow or --request");
  }
  if (arguments.flow.isSet()) {
    return arguments.flow.getValue();
  }
  const std::string& id = arguments.request.getValue();
  const auto flows = transport::FindFlowsOfRequest(files, id);
  if (flows.empty()) {
    throw Error(ErrorKind::kUnknownRequest,
                "no line names the flow of request " + id +
                    ": balancers and agents don't read request ids; give the "
                    "flow, --flow CALLER>ADDRESS");
  }
  if (flows.size() > 1) {
    throw Error(
        ErrorKind::kInvalidSettings,
        fmt::format("lines name {} flows for request {}; give one as --flow: "
                    "{}",
                    flows.size(), id, fmt::join(flows, ", ")));
  }
  return flows.front();
}

}  // namespace

auto RunExplainCommand(const Words& words) -> int {
  TCLAP::CmdLine command(
      "Shows the decisions about a flow and their reasons, from the logs of "
      "balancers and agents.",
      ' ', transport::GetVersion());
  const ExplainArguments arguments(command);
  ParseArguments(command, words);
  constexpr unsigned kMaxWindowSeconds = 86'400;
  if (arguments.window.getValue() > kMaxWindowSeconds) {
    throw Error(ErrorKind::kInvalidSettings,
                fmt::format("--window: at most {}", kMaxWindowSeconds));
  }
  const auto files = transport::ListLogFiles(arguments.folder.getValue());
  const std::string flow = ChooseFlow(arguments, files);
  const transport::Timeline timeline = transport::ReadTimeline(
      files, {.flow = transport::ParseFlow(flow),
              .opening = ReadOptional(arguments.opening),
              .from_ms = ReadOptional(arguments.from),
              .to_ms = ReadOptional(arguments.to),
              .window = std::chrono::seconds{arguments.window.getValue()}});
  if (timeline.lines.empty()) {
    for (const auto& it : timeline.counts.unread) {
      std::cerr << "hawthornctl: can't be read: " << it << '\n';
    }
    throw Error(ErrorKind::kUnknownRequest,
                fmt::format("no line about the flow {} in {}; {}", flow,
                            arguments.folder.getValue(),
                            transport::FormatReadCounts(timeline.counts)));
  }
  std::cout << (arguments.json.getValue()
                    ? transport::FormatTimelineAsJson(timeline)
                    : transport::FormatTimeline(timeline));
  return 0;
}

}  // namespace hawthornbank::hawthornctl
