#include "soak/timeline.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <string_view>

#include "hawthornbank/error.h"
#include "transport/event_log.h"
#include "transport/node_log_files.h"
#include "transport/node_log_report.h"

namespace hawthornbank::soak {
namespace {

using std::chrono::milliseconds;

// Time around a flow's lines from which other lines are printed.
constexpr milliseconds kWindow{1500};

auto ToUnixMilliseconds(const SoakRecord& record, TimePoint time)
    -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch() +
                                                  record.clock_offset)
      .count();
}

// Returns a text for a value in quotation marks.
auto Quote(std::string text) -> std::string {
  std::replace(text.begin(), text.end(), '"', '\'');
  std::replace(text.begin(), text.end(), '\n', ' ');
  return '"' + text + '"';
}

auto ToWord(std::string text) -> std::string {
  std::replace(text.begin(), text.end(), ' ', '_');
  return text;
}

auto FormatFlowOf(const CallerPacket& packet) -> std::string {
  return transport::FormatFlow(
      {.caller = packet.caller, .address = packet.route});
}

auto FormatPacketLine(const CallerPacket& packet) -> std::string {
  std::string detail(packet.what);
  if (packet.request != 0) {
    detail += fmt::format(" {}", packet.request);
  }
  if (packet.copy > 0) {
    detail += fmt::format(" (copy {})", packet.copy);
  }
  if (packet.is_sent) {
    detail += fmt::format(" to balancer-{}{}", packet.balancer,
                          packet.is_lost ? ", lost on the way" : "");
  }
  return fmt::format(
      "t={} node=callers kind=caller event={} flow={} opening={} request={} "
      "detail=\"{}\"\n",
      packet.time_ms, packet.is_sent ? "sent" : "received",
      FormatFlowOf(packet), packet.opening_sequence, packet.request, detail);
}

auto FormatEventLine(const SoakRecord& record, const std::string& event)
    -> std::string {
  const auto blank = std::min(event.find(' '), event.size());
  double seconds = 0;
  std::from_chars(event.data(), event.data() + blank, seconds);
  const TimePoint time =
      record.checker.started + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(seconds));
  return fmt::format(
      "t={} node=soak kind=disruption event=soak_event detail={}\n",
      ToUnixMilliseconds(record, time),
      Quote(event.substr(std::min(blank + 1, event.size()))));
}

auto FormatViolationLine(const SoakRecord& record, const Violation& violation)
    -> std::string {
  return fmt::format(
      "t={} node=soak kind=violation event={}{}{} detail={}\n",
      ToUnixMilliseconds(record, violation.at), ToWord(violation.invariant),
      violation.flow.has_value()
          ? " flow=" + transport::FormatFlow(*violation.flow)
          : "",
      violation.opening_sequence == 0
          ? ""
          : fmt::format(" opening={}", violation.opening_sequence),
      Quote(violation.detail));
}

}  // namespace

auto WriteSoakLog(const std::filesystem::path& path, const SoakRecord& record)
    -> void {
  std::set<std::string> flows;
  for (const auto& it : record.checker.violations) {
    if (it.flow.has_value()) {
      flows.insert(transport::FormatFlow(*it.flow));
    }
  }
  std::ofstream file(path);
  for (const auto& it : record.packets.packets) {
    if (flows.contains(FormatFlowOf(it))) {
      file << FormatPacketLine(it);
    }
  }
  for (const auto& it : record.events) {
    file << FormatEventLine(record, it);
  }
  for (const auto& it : record.checker.violations) {
    file << FormatViolationLine(record, it);
  }
  file.close();
  if (!file) {
    throw Error(ErrorKind::kInternal, path.string() + " can't be written");
  }
}

auto PrintTimelines(std::ostream& out,
                    const InvariantChecker& checker,
                    const std::vector<std::filesystem::path>& files) -> void {
  std::set<std::string> printed;
  for (const auto& it : checker.violations) {
    if (!it.flow.has_value() ||
        !printed
             .insert(fmt::format("{} {} {}", it.invariant,
                                 transport::FormatFlow(*it.flow),
                                 it.opening_sequence))
             .second) {
      continue;
    }
    if (printed.size() > kMaxPrintedTimelines) {
      continue;
    }
    out << fmt::format("\nviolation: {}: {}\n", it.invariant, it.detail);
    transport::TimelineQuery query{.flow = *it.flow, .window = kWindow};
    if (it.opening_sequence != 0) {
      query.opening = it.opening_sequence;
    }
    const auto timeline = transport::ReadTimeline(files, query);
    out << (timeline.lines.empty()
                ? fmt::format("no line about the flow {}\n",
                              transport::FormatFlow(*it.flow))
                : transport::FormatTimeline(timeline));
  }
  if (printed.size() > kMaxPrintedTimelines) {
    out << fmt::format(
        "\n{} further timelines aren't shown: hawthornctl explain FOLDER "
        "--flow "
        "CALLER>ADDRESS --opening NUMBER, with the kept logs in FOLDER\n",
        printed.size() - kMaxPrintedTimelines);
  }
}

}  // namespace hawthornbank::soak
