#include "protocol/sheet.h"

#include <fstream>
#include <sstream>

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

constexpr auto kHeader =
    "service,day,transport,address,zones,slots,connections,targets,07:00\n";
constexpr auto kRow = "fitquote,daily,udp,10.0.0.1:5,a b,3,2000,7,10\n";

auto ReadExampleFile(const char* name) -> std::string {
  const std::ifstream file(std::string(TEST_DATA_DIR "/examples/") + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto GetParseError(const std::string& text) -> std::string {
  try {
    ParseSheet(text, "s.csv");
  } catch (const Error& error) {
    CHECK(ErrorKind::kInvalidSettings == error.kind());
    return error.what();
  }
  return "";
}

auto ReplaceAll(std::string text,
                const std::string& from,
                const std::string& to) -> std::string {
  for (auto n = text.find(from); n != std::string::npos;
       n = text.find(from, n + to.size())) {
    text.replace(n, from.size(), to);
  }
  return text;
}

/// Replaces text in a valid row and checks that the sheet then has exactly the
/// given fault.
auto CheckSingleFault(const char* from, const char* to, const char* fault)
    -> void {
  STRCMP_EQUAL((std::string("s.csv: ") + fault).c_str(),
               GetParseError(kHeader + ReplaceAll(kRow, from, to)).c_str());
}

auto GetApplyRefusal(const Configuration& configuration,
                     const Sheet& sheet,
                     const SheetConsent& consent) -> std::string {
  try {
    ApplySheet(configuration, sheet, consent);
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_GROUP(Sheet){};

TEST(Sheet, ReadsTheExampleSheets) {
  const auto trentmoor = ParseSheet(ReadExampleFile("trentmoor.csv"), "t");
  LONGS_EQUAL(2, trentmoor.services.size());
  const auto& fitquote = trentmoor.services[0];
  STRCMP_EQUAL("fitquote", fitquote.name.c_str());
  LONGS_EQUAL(7, fitquote.target_count);
  LONGS_EQUAL(3, fitquote.slots);
  LONGS_EQUAL(2000, fitquote.max_connections);
  LONGS_EQUAL(3, fitquote.zones.size());
  LONGS_EQUAL(3, trentmoor.services[1].target_count);
  LONGS_EQUAL(48, trentmoor.demand.size());
  const auto tezontle = ParseSheet(ReadExampleFile("tezontle.csv"), "t");
  CHECK(tezontle.services[0].non_idempotent_counts_double);
  CHECK(!tezontle.services[1].non_idempotent_counts_double);
}

TEST(Sheet, ReadsSemicolonsDecimalCommasAndEmptyColumns) {
  std::string text = ReplaceAll(ReadExampleFile("trentmoor.csv"),
                                "\"depot-north,civic-hall,depot-south\"",
                                "depot-north|civic-hall|depot-south");
  text = ReplaceAll(ReplaceAll(text, ",", ";"), "|", ",");
  text = ReplaceAll(ReplaceAll(text, ";90;", ";90,5;"), "\n", ";;\r\n");
  const auto sheet =
      ParseSheet("\xEF\xBB\xBF" + text + ";;;;;;;;;;;;;;;;;;\r\n\r\n", "t");
  LONGS_EQUAL(2, sheet.services.size());
  LONGS_EQUAL(3, sheet.services[0].zones.size());
  DOUBLES_EQUAL(90.5, sheet.demand[3].row.requests_per_second, 1e-9);
}

TEST(Sheet, ReportsThePlaceAndReasonOfEachInvalidCell) {
  CheckSingleFault("udp", "upd",
                   "row 2, column C (transport): 'upd' is neither udp "
                   "nor tcp");
  CheckSingleFault("10.0.0.1:5", "10.0.0.1",
                   "row 2, column D (address): '10.0.0.1' "
                   "is not an address like 10.0.0.1:5683");
  CheckSingleFault("a b", "a b a",
                   "row 2, column E (zones): zone 'a' is listed twice");
  CheckSingleFault(",3,", ",0,",
                   "row 2, column F (slots): '0' is out of range: 1 to "
                   "10000");
  CheckSingleFault("2000", "2.000",
                   "row 2, column G (connections): '2.000' is not a "
                   "whole number");
  CheckSingleFault(",7,", ",,", "row 2, column H (targets): is empty");
  CheckSingleFault(
      ",10\n", ",\"1,500\"\n",
      "row 2, column I (07:00): '1,500' may mean thousands or decimals; "
      "write it without ',' or with another number of decimals");
  CheckSingleFault(",10\n", ",-1\n",
                   "row 2, column I (07:00): '-1' is out of range: "
                   "0 to 1000000000");
  CheckSingleFault("daily", "25/12/2026",
                   "row 2, column B (day): '25/12/2026' is "
                   "neither daily nor a date like 2026-12-24");
  CheckSingleFault(
      ",10\n", ",10,9\n",
      "row 2, column J: this cell is to the right of the last column");
}

TEST(Sheet, ListsAllFaultsOfASheet) {
  const std::string text =
      "service,day,transprt,address,zones,slots,connections,targets,25:00\n"
      "fit quote,daily,udp,10.0.0.1:5,a,3,2000,7,1\n"
      "planstore,daily,udp,10.0.0.1:0,a,x,2000,3,1\n"
      "planstore,daily,udp,10.0.0.2:1,a,3,2000,3,1\n"
      "plansotre,2026-02-30,,,,,,,1\n";
  STRCMP_EQUAL(
      "s.csv: row 1, column C (transprt): neither a known column nor a time of "
      "day like 07:30; did you mean 'transport'?\n"
      "s.csv: row 1, column I (25:00): neither a known column nor a time of "
      "day like 07:30\n"
      "s.csv: row 1, column J: column 'transport' is missing\n"
      "s.csv: row 2, column A (service): 'fit quote' is not a name: letters, "
      "digits, '.', '-' and '_', at most 63\n"
      "s.csv: row 3, column D (address): '10.0.0.1:0' can't be reached; it "
      "needs an address and a port\n"
      "s.csv: row 3, column F (slots): 'x' is not a whole number\n"
      "s.csv: row 4, column A (service): service 'planstore' has this day in "
      "row 3 already\n"
      "s.csv: row 5, column B (day): there is no day '2026-02-30'",
      GetParseError(text).c_str());
}

TEST(Sheet, ReportsInvalidHolidayRows) {
  const std::string text = std::string(kHeader) + kRow +
                           "fitqoute,2026-12-25,,,,,,,2\n"
                           "fitquote,2026-12-25,udp,,,,,,2\n"
                           "fitquote,2026-12-26,,,,,,,\n";
  STRCMP_EQUAL(
      "s.csv: row 3, column A (service): service 'fitqoute' has no daily row; "
      "did you mean 'fitquote'?\n"
      "s.csv: row 4, column C (transport): must be empty in the row of a "
      "holiday\n"
      "s.csv: row 5, column B (day): the row of a holiday holds no demand",
      GetParseError(text).c_str());
}

TEST(Sheet, RejectsSharedAddressesOtherEncodingsAndEmptySheets) {
  const std::string twice =
      std::string(kHeader) + kRow + ReplaceAll(kRow, "fitquote", "planstore");
  STRCMP_EQUAL(
      "s.csv: row 3, column D (address): 10.0.0.1:5 is also the address of "
      "service 'fitquote'",
      GetParseError(twice).c_str());
  CHECK(GetParseError("\xFF\xFEs\0e\0").find("not UTF-8") != std::string::npos);
  CHECK(GetParseError("").find("the sheet is empty") != std::string::npos);
  STRCMP_EQUAL(
      "s.csv: row 1, column A (service): the sheet describes no "
      "service",
      GetParseError(kHeader).c_str());
}

TEST(Sheet, KeepsServiceIdentitiesAndNeverReusesThem) {
  const auto both =
      ParseSheet(std::string(kHeader) + kRow +
                     "planstore,daily,udp,10.0.0.2:5,a,3,2000,3,4\n",
                 "s");
  const auto one = ParseSheet(std::string(kHeader) + kRow, "s");
  const auto first = ApplySheet(Configuration{.draining = {"x"}}, both, {});
  LONGS_EQUAL(2, first.last_service_id);
  LONGS_EQUAL(1, first.draining.size());
  CHECK(ServiceId{2} == first.demand[1].service);
  const auto second =
      ApplySheet(first, one, {.droppable_services = {"planstore"}});
  LONGS_EQUAL(1, second.services.size());
  const auto third = ApplySheet(second, both, {});
  CHECK(ServiceId{1} == FindService(third, "fitquote")->id);
  CHECK(ServiceId{3} == FindService(third, "planstore")->id);
}

TEST(Sheet, RefusesToDropMoveOrHalveServicesWithoutConsent) {
  const auto sheet = ParseSheet(std::string(kHeader) + kRow, "s");
  const auto before = ApplySheet({}, sheet, {});
  const auto dropped = ParseSheet(
      std::string(kHeader) + ReplaceAll(kRow, "fitquote", "other"), "s");
  STRCMP_EQUAL(
      "service 'fitquote' would be dropped, which ends its flows; to allow it: "
      "--allow-drop fitquote",
      GetApplyRefusal(before, dropped, {.droppable_services = {"other"}})
          .c_str());
  const auto halved = ParseSheet(
      std::string(kHeader) +
          ReplaceAll(ReplaceAll(kRow, ",7,", ",3,"), "0.1:5", "0.1:6"),
      "s");
  STRCMP_EQUAL(
      "service 'fitquote' would change its address or transport, which ends "
      "its flows; to allow it: --allow-drop fitquote\n"
      "service 'fitquote' would go from 21 to 9 slots; to allow it: "
      "--allow-shrink fitquote\n"
      "service 'fitquote' would go from 14000 to 6000 connections; to allow "
      "it: --allow-shrink fitquote",
      GetApplyRefusal(before, halved, {}).c_str());
  STRCMP_EQUAL("", GetApplyRefusal(before, halved,
                                   {.droppable_services = {"fitquote"},
                                    .shrinkable_services = {"fitquote"}})
                       .c_str());
}

TEST(Sheet, AcceptsHolidaysInSomeZones) {
  const std::string text = std::string(kHeader) + kRow +
                           "fitquote,2026-12-25,,,b,,,,2\n"
                           "fitquote,2026-12-26,,,b a,,,,2\n";
  const Sheet sheet = ParseSheet(text, "s.csv");
  LONGS_EQUAL(3, sheet.demand.size());
  CHECK(sheet.demand[0].row.zones.empty());
  CHECK(std::vector<std::string>{"b"} == sheet.demand[1].row.zones);
  // A holiday in all zones of the service is stored without zones.
  CHECK(sheet.demand[2].row.zones.empty());
  STRCMP_EQUAL(
      "s.csv: row 3, column E (zones): service 'fitquote' is not in all of "
      "these zones",
      GetParseError(std::string(kHeader) + kRow +
                    "fitquote,2026-12-25,,,b c,,,,2\n")
          .c_str());
}
