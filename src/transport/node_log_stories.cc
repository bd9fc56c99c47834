#include "transport/node_log_stories.h"

#include <algorithm>

namespace hawthornbank::transport {
namespace {

auto AddToStory(OpeningStory& story, const LogLine& line) -> void {
  if (line.kind == kViolationKind) {
    story.violations.push_back(line);
  } else if (line.event == "flow_relayed" &&
             !FindField(line, "opening").empty()) {
    story.offers.push_back(line);
  } else if (line.event == "flow_opened" || line.event == "opening_delivered") {
    story.deliveries.push_back(line);
  } else if (line.event == "flow_sent_back" &&
             !FindField(line, "opening").empty()) {
    story.returns.push_back(line);
  } else if (line.event == "flow_confirmed") {
    story.confirmations.push_back(line);
  } else if (line.event == "flow_reset" && line.kind != kCallerKind) {
    story.resets.push_back(line);
  }
}

}  // namespace

auto CollectStories(const Timeline& timeline) -> std::vector<OpeningStory> {
  std::vector<OpeningStory> stories;
  for (const auto& it : timeline.lines) {
    const auto parsed = ParseLogLine(it.text);
    const auto* const line = std::get_if<LogLine>(&parsed);
    if (it.role != LineRole::kFlow || line == nullptr) {
      continue;
    }
    const std::string_view number = FindField(*line, "opening");
    auto story = stories.rbegin();
    if (!number.empty()) {
      story = std::find_if(
          stories.rbegin(), stories.rend(),
          [&](const OpeningStory& other) { return other.number == number; });
    }
    if (story == stories.rend()) {
      stories.push_back({.number = number});
      story = stories.rbegin();
    }
    AddToStory(*story, *line);
  }
  return stories;
}

auto FindOffer(const OpeningStory& story, const LogLine& delivery)
    -> const LogLine* {
  const auto it = std::find_if(
      story.offers.begin(), story.offers.end(), [&](const LogLine& offer) {
        return FindField(offer, "copy") == FindField(delivery, "copy") &&
               FindField(offer, "asked") == FindField(delivery, "asked");
      });
  return it == story.offers.end() ? nullptr : &*it;
}

}  // namespace hawthornbank::transport
