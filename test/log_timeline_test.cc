#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "hawthornbank/error.h"
#include "transport/node_log_files.h"
#include "transport/node_log_findings.h"
#include "transport/node_log_report.h"

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

constexpr const char* kFlow = "100.65.0.40:1035>198.18.0.1:8080";

auto IsFault(std::string_view text, LogLineFault fault) -> bool {
  const auto parsed = ParseLogLine(text);
  const auto* const found = std::get_if<LogLineFault>(&parsed);
  return found != nullptr && *found == fault;
}

auto MakeStart(const std::string& node,
               const std::string& role,
               const std::string& control,
               int t = 10) -> std::string {
  return fmt::format(
      "t={} node={} kind=process event=start role={} zone=a control={} "
      "seeds=1\n",
      t, node, role, control);
}

auto MakeOffer(int t, int opening, int asked, const std::string& more)
    -> std::string {
  return fmt::format(
      "t={} node=edge-1 kind=opening event=flow_relayed flow={} reason={} "
      "opening={} copy=0 agent=10.2.0.{}:7100 {} asked={} version=4\n",
      t, kFlow, asked == 0 ? "placed" : "sent_back", opening, 10 + asked, more,
      asked);
}

auto MakeDecision(int t,
                  const std::string& node,
                  const std::string& event,
                  int opening,
                  int asked,
                  const std::string& own = "quote") -> std::string {
  return fmt::format(
      "t={} node={} kind=opening event={} flow={} reason=opened opening={} "
      "copy=0 service=quote own={} from=10.2.0.1:7100 target=i-1 born=5 "
      "state=ready heartbeat_ms=250 known=no asked={} running=1 slots=3 "
      "flows=2 knows_all=true\n",
      t, node, event, kFlow, opening, own, asked);
}

constexpr const char* kAsRouted = "service=quote record=quote born=5";

}  // namespace

TEST_GROUP(LogTimeline) {
  std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                 fmt::format("log-timeline-{}", ::getpid());

  void setup() override {
    std::filesystem::create_directory(folder);
    WriteFile("starts", MakeStart("edge-1", "balancer", "10.2.0.1:7100") +
                            MakeStart("side-1", "agent", "10.2.0.10:7100") +
                            MakeStart("side-2", "agent", "10.2.0.11:7100"));
  }
  void teardown() override {
    std::filesystem::remove_all(folder);
  }

  auto WriteFile(const std::string& name, const std::string& text) const->void {
    std::ofstream(folder / name) << text;
  }

  auto Read(std::optional<std::int64_t> opening = {}) const->Timeline {
    return ReadTimeline(ListLogFiles(folder),
                        {.flow = ParseFlow(kFlow), .opening = opening});
  }

  auto ReadText(std::optional<std::int64_t> opening = {}) const->std::string {
    return FormatTimeline(Read(opening));
  }
};

TEST(LogTimeline, FieldsAreFoundBesideTextsOfOtherWriters) {
  const auto parsed = ParseLogLine(
      "Dec 06 host hawthornnode[7]: t=1790 node=n kind=input event=e "
      "id=a b=c words reason=\"x (\"y\") z=1\" z=-2 empty=");
  const auto& line = std::get<LogLine>(parsed);
  LONGS_EQUAL(1790, line.time_ms);
  CHECK(FindField(line, "id") == "a");
  CHECK(FindField(line, "reason") == "x (\"y\") z=1");
  LONGS_EQUAL(-2, *FindNumber(line, "z"));
  CHECK(FindField(line, "empty").empty());
  CHECK(!FindNumber(line, "id").has_value());
}

TEST(LogTimeline, UnusableLinesHaveAReason) {
  CHECK(IsFault("t=1 node=n kind=flow eve", LogLineFault::kCut));
  CHECK(IsFault("t=12x node=n kind=flow event=e", LogLineFault::kCut));
  CHECK(IsFault("t=-9223372036854775808 node=n kind=flow event=e",
                LogLineFault::kCut));
  CHECK(IsFault("t=253402300800000 node=n kind=flow event=e",
                LogLineFault::kCut));
  CHECK(
      IsFault("t=1 node=n kind=flow event=e flow=1.2.3.4t=2 node=n kind=x "
              "event=e",
              LogLineFault::kMerged));
  CHECK(IsFault("hello", LogLineFault::kNoHeader));
  CHECK(IsFault("t=1 node=n kind=flow event=e a=\xFF\xFE",
                LogLineFault::kNotText));
  CHECK(IsFault("t=1 node=n kind=flow event=e a=\x01", LogLineFault::kNotText));
  CHECK(IsFault(std::string(kMaxLogLine + 1, 'a'), LogLineFault::kTooLong));
  CHECK(std::holds_alternative<LogLine>(
      ParseLogLine("t=1 node=n kind=flow event=e zone=\u00e5")));
}

TEST(LogTimeline, DamagedLinesAreCountedAndTheOthersUsed) {
  WriteFile("edge-1", std::string(3'000'000, 'x') + "\n" +
                          MakeOffer(1000, 7, 0, kAsRouted) + "\r\n\n");
  WriteFile("side-1", MakeDecision(1001, "side-1", "flow_opened", 7, 0) +
                          std::string("\x00\x7F\xFF\n", 4) +
                          "t=1002 node=side-1 kind=opening event=flow_op");
  std::filesystem::create_symlink("nowhere", folder / "gone");
  const Timeline timeline = Read();
  LONGS_EQUAL(3, timeline.counts.files);
  LONGS_EQUAL(1, timeline.counts.unread.size());
  const std::string text = FormatTimeline(timeline);
  STRCMP_CONTAINS(
      "read 3 files, 8 lines; skipped 3: 1 too long, 1 not text, 1 cut\n",
      text.c_str());
  STRCMP_CONTAINS("can't be read: ", text.c_str());
  STRCMP_CONTAINS(
      "opening 7: sent to target i-1 (started at 5) of service quote by agent "
      "side-1; offered by edge-1 as service quote\n",
      text.c_str());
  CHECK(text.find("looks broken") == std::string::npos);
}

TEST(LogTimeline, FolderWithoutFilesIsRefused) {
  std::filesystem::remove(folder / "starts");
  CHECK_THROWS(Error, ListLogFiles(folder));
  CHECK_THROWS(Error, ListLogFiles(folder / "missing"));
  CHECK_THROWS(Error, ParseFlow("1.2.3.4:5"));
  CHECK_THROWS(Error, ParseFlow("1.2.3.4:5>1.2.3.4"));
}

TEST(LogTimeline, OffersThatLeadElsewhereBreakTheRouteRule) {
  WriteFile("edge-1",
            MakeOffer(1000, 7, 0,
                      "service=#000000ab route=quote record=#000000ab "
                      "born=6 remembered=confirmed remembered_ms=900 "
                      "remembered_born=5"));
  WriteFile("side-1",
            MakeDecision(1001, "side-1", "flow_opened", 7, 0, "claim") +
                "t=9 node=side-1 kind=belief event=service_named "
                "service=claim hash=#000000ab\n");
  STRCMP_CONTAINS(
      "  ROUTE looks broken: edge-1 told agent side-1 (10.2.0.10:7100) service "
      "claim, though routes version 4 led to quote; reason placed, as it "
      "remembered an earlier flow of the port (confirmed, used 900 ms before), "
      "at a target "
      "started at 5, while 6 is there now\n",
      ReadText().c_str());
  STRCMP_CONTAINS(
      "  ROUTE looks broken: agent side-1 of service claim sent "
      "its target an opening for service quote\n",
      ReadText().c_str());
}

// A target of another service starts at 1100 at the address of an agent that
// still knows its former target.
TEST(LogTimeline, DeliveryAfterAnotherTargetsStartIsDoubtful) {
  WriteFile("side-1",
            MakeDecision(1101, "side-1", "flow_opened", 7, 0) +
                "t=1150 node=side-1 kind=input event=heartbeat_ignored id=i-2 "
                "outcome=foreign service=claim own=quote born=1100 seq=1 "
                "present_id=i-1 present_born=5 present_seq=9\n"
                "t=1160 node=side-1 kind=flow event=events_counted "
                "name=flow_confirmed reason=- count=3 first=- last=- "
                "span_ms=9\n");
  const std::string text = ReadText();
  STRCMP_CONTAINS(
      "ROUTE looks broken: agent side-1 sent it to an address that may belong "
      "to another target: the last heartbeat was 250 ms old; target i-2 of "
      "service claim, which sent heartbeats to this agent, had started 1 ms "
      "before\n",
      text.c_str());
  STRCMP_CONTAINS("wrote no line for 3 events around", text.c_str());
  WriteFile("side-1", MakeDecision(1099, "side-1", "flow_opened", 7, 0));
  CHECK(ReadText().find("looks broken") == std::string::npos);
}

TEST(LogTimeline, ResetWhileTheTargetsHeartbeatsGoOnBreaksTheFlowRule) {
  const std::string reset = fmt::format(
      "t=1900 node=side-1 kind=refusal event=flow_reset flow={} "
      "reason=target_restarted born=9\n"
      "t=1900 node=side-1 kind=belief event=target_restarted id=i-1 born=9\n",
      kFlow);
  const std::string heartbeat =
      "node=side-1 kind=input event=heartbeat_ignored id=i-1 "
      "outcome=other_start service=quote own=quote born=5 present_born=9\n";
  const std::string delivery =
      MakeDecision(1001, "side-1", "flow_opened", 7, 0);
  WriteFile("side-1", delivery + reset + "t=1950 " + heartbeat);
  STRCMP_CONTAINS(
      "side-1 reset the open flow: target_restarted, after "
      "target_restarted at side-1\n",
      ReadText().c_str());
  WriteFile("side-1",
            delivery + reset + "t=1950 " + heartbeat + "t=2150 " + heartbeat);
  STRCMP_CONTAINS(
      "FLOW looks broken: side-1 reset the open flow: "
      "target_restarted; but heartbeats of the target that had it, "
      "started at 5, went on\n",
      ReadText().c_str());
}

TEST(LogTimeline, FlowsOfOnePortAreToldApartByTheirOpenings) {
  WriteFile("edge-1",
            MakeOffer(1000, 7, 0, kAsRouted) +
                fmt::format("t=1010 node=edge-1 kind=flow event=flow_confirmed "
                            "flow={} agent=10.2.0.10:7100 took_us=9000\n",
                            kFlow) +
                MakeOffer(5000, 8, 0, kAsRouted) +
                fmt::format("t=5900 node=edge-1 kind=refusal event=flow_reset "
                            "flow={} reason=flow_unknown version=4\n",
                            kFlow));
  WriteFile("side-1", MakeDecision(1001, "side-1", "flow_opened", 7, 0) +
                          MakeDecision(5001, "side-1", "flow_opened", 8, 0));
  const std::string first = ReadText(7);
  STRCMP_CONTAINS("learns from agent side-1", first.c_str());
  CHECK(first.find("opening 8") == std::string::npos);
  CHECK(first.find("resets") == std::string::npos);
  const std::string second = ReadText(8);
  CHECK(second.find("opening 7") == std::string::npos);
  STRCMP_CONTAINS("FLOW looks broken: edge-1 reset the open flow: flow_unknown",
                  second.c_str());
  STRCMP_CONTAINS("opening 7: sent to", ReadText().c_str());
  LONGS_EQUAL(0, Read(9).lines.size());
}

// side-1's clock is 400 ms behind, side-2's within the precision.
TEST(LogTimeline, CertainSkewOrdersTheTimeline) {
  WriteFile("edge-1", MakeOffer(1000, 7, 0, kAsRouted) +
                          MakeOffer(1012, 7, 1, kAsRouted));
  WriteFile("side-1", MakeDecision(605, "side-1", "flow_sent_back", 7, 0));
  WriteFile("side-2", MakeDecision(1011, "side-2", "flow_opened", 7, 1));
  const Timeline timeline = Read();
  CHECK(timeline.clocks.is_consistent);
  const ClockOffset& offset = timeline.clocks.offsets.at("side-1");
  LONGS_EQUAL(-427, offset.min->count());
  LONGS_EQUAL(-375, offset.max->count());
  CHECK(!timeline.clocks.offsets.at("side-2").is_certain());
  const std::string text = FormatTimeline(timeline);
  STRCMP_CONTAINS(
      "side-1 agent 10.2.0.10:7100 zone a; clock -427 ms to -375 ms, corrected "
      "by +401 ms\n",
      text.c_str());
  STRCMP_CONTAINS("*    +0.006 t=605 side-1 returns opening 7 ", text.c_str());
  STRCMP_CONTAINS("zone a; clock ? to +19 ms, not corrected\n", text.c_str());
}

// side-1's clock is set from 400 ms behind to 400 ms ahead between two flows.
TEST(LogTimeline, ClockThatIsSetIsComparedByTheFlowsOwnLines) {
  const auto of_other_flow = [](std::string line) {
    return line.replace(line.find(":1035>"), 6, ":1036>");
  };
  const std::string decision =
      MakeDecision(600, "side-1", "flow_sent_back", 7, 0);
  const std::string later =
      of_other_flow(MakeDecision(2405, "side-1", "flow_sent_back", 7, 0));
  WriteFile("edge-1", MakeOffer(1000, 7, 0, kAsRouted) +
                          MakeOffer(1012, 7, 1, kAsRouted) +
                          of_other_flow(MakeOffer(2000, 7, 0, kAsRouted)) +
                          of_other_flow(MakeOffer(2010, 7, 1, kAsRouted)));
  WriteFile("side-1", decision + later);
  const Timeline timeline = Read();
  CHECK(timeline.clocks.is_of_flow_only);
  LONGS_EQUAL(-380, timeline.clocks.offsets.at("side-1").max->count());
  STRCMP_CONTAINS("compared by the flow's own lines only",
                  FormatTimeline(timeline).c_str());
}

TEST(LogTimeline, ContradictingTimesCorrectNothing) {
  ClockComparison clocks;
  AddOrderedLines(clocks, "a", 1000, "b", 500);
  AddOrderedLines(clocks, "b", 1000, "a", 500);
  const ClockOffsets offsets = ComputeClockOffsets(clocks, "a");
  CHECK(!offsets.is_consistent);
  CHECK(offsets.offsets.empty());
}

TEST(LogTimeline, LinesAroundTheFlowTellWhatNodesKnew) {
  const auto known = [](int t, const std::string& host, int born) {
    return fmt::format(
        "t={} node=edge-1 kind=belief event=host_changed host={} role=agent "
        "zone=a service=quote incarnation=1 revision=1 leaving=false "
        "target=ready born={} slots=3\n",
        t, host, born);
  };
  WriteFile("edge-1", known(100, "10.2.0.10:7100", 3) +
                          known(200, "10.2.0.10:7100", 4) +
                          known(300, "10.2.0.99:7100", 9) +
                          MakeOffer(90'000, 7, 0, kAsRouted));
  WriteFile("side-1",
            MakeDecision(90'001, "side-1", "flow_opened", 7, 0) +
                MakeStart("side-1", "agent", "10.2.0.10:7100", 92'000) +
                "t=200000 node=side-1 kind=process event=stop\n");
  WriteFile("soak",
            "t=91000 node=soak kind=disruption event=soak_event "
            "detail=\"kill_agent\"\n");
  const std::string text = ReadText();
  STRCMP_CONTAINS("started at 4", text.c_str());
  CHECK(text.find("target ready started at 3") == std::string::npos);
  CHECK(text.find("10.2.0.99") == std::string::npos);
  STRCMP_CONTAINS("   +1.000 t=91000 soak *** kill_agent\n", text.c_str());
  STRCMP_CONTAINS("   +2.000 t=92000 side-1 STARTS as agent", text.c_str());
  CHECK(text.find("ENDS") == std::string::npos);
}

TEST(LogTimeline, CopiesOfAFileAddNothing) {
  for (const auto* name : {"edge-1", "edge-1.copy"}) {
    WriteFile(name, MakeOffer(1000, 7, 0, kAsRouted));
  }
  LONGS_EQUAL(3, Read().lines.size());  // Two starts and the offer.
}

TEST(LogTimeline, NumberOfLinesIsBounded) {
  std::string lines;
  for (int n = 0; n < static_cast<int>(kMaxFlowLines) + 5; ++n) {
    lines += MakeOffer(1000 + n, 7, 0, kAsRouted);
  }
  WriteFile("edge-1", lines);
  const Timeline timeline = Read();
  LONGS_EQUAL(5, timeline.left_out);
  LONGS_EQUAL(kMaxFlowLines + 2, timeline.lines.size());  // And two starts.
  STRCMP_CONTAINS("5 further lines are left out",
                  FormatTimeline(timeline).c_str());
}
