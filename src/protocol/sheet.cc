#include "protocol/sheet.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/csv.h"
#include "protocol/name.h"
#include "protocol/near_match.h"
#include "protocol/sheet_cells.h"

namespace hawthornbank {
namespace {

constexpr auto kDaily = "daily";

/// A named column; the reader is null for those that find the row's place.
struct Column {
  std::string_view name;
  bool required;
  auto(*apply)(Service& service, const std::string& cell) -> void;
};

// clang-format off
constexpr auto kColumns = std::to_array<Column>({
    {"service", true, nullptr},
    {"day", true, nullptr},
    {"transport", true,
     [](Service& s, const auto& c) { s.transport = ReadTransportCell(c); }},
    {"address", true,
     [](Service& s, const auto& c) { s.address = ReadAddressCell(c); }},
    {"zones", true,
     [](Service& s, const auto& c) { s.zones = ReadZonesCell(c); }},
    {"slots", true,
     [](Service& s, const auto& c) { s.slots = ReadCountCell(c, {1, 10'000}); }},
    {"connections", true,
     [](Service& s, const auto& c) {
       s.max_connections = ReadCountCell(c, {1, 10'000'000}); }},
    {"targets", true,
     [](Service& s, const auto& c) {
       s.target_count = ReadCountCell(c, {1, 100'000}); }},
    {"weight", false,
     [](Service& s, const auto& c) {
       s.weight = ReadCountCell(c, {1, 10'000}); }},
    {"counts_double", false,
     [](Service& s, const auto& c) {
       s.non_idempotent_counts_double = ReadYesCell(c); }},
    {"drain_limit_s", false,
     [](Service& s, const auto& c) {
       s.drain_limit = std::chrono::seconds{ReadCountCell(c, {1, 604'800})}; }},
});
// clang-format on
constexpr std::size_t kServiceColumn = 0;
constexpr std::size_t kDayColumn = 1;
constexpr std::size_t kZonesColumn = 4;

/// A column of demand.
struct TimeColumn {
  std::size_t column = 0;
  std::chrono::minutes start{0};
};

/// A sheet while it is read.
struct Reading {
  CsvTable table;
  std::array<std::optional<std::size_t>, kColumns.size()> columns;
  std::vector<TimeColumn> times;
  Sheet sheet;
  std::map<std::string, std::size_t> days;  ///< "service day" to its row.
  std::vector<CsvFault> faults;
};

auto AddFault(Reading& reading,
              std::size_t row,
              std::size_t column,
              const std::string& reason) -> void {
  reading.faults.push_back(
      CsvFault{.row = row, .column = column, .reason = reason});
}

auto IsEmptyRow(const std::vector<std::string>& row) -> bool {
  return std::all_of(row.begin(), row.end(),
                     [](const std::string& cell) { return cell.empty(); });
}

auto Lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// @return The cell of a named column, or "" when the row ends before it.
auto CellOf(const Reading& reading, std::size_t row, std::size_t rule)
    -> std::string {
  const auto& cells = reading.table.rows[row];
  const auto column = reading.columns[rule];
  return column && *column < cells.size() ? cells[*column] : "";
}

auto ReadHeaderCell(Reading& reading, std::size_t column) -> void {
  const std::string name = Lower(reading.table.rows[0][column]);
  if (const auto start = ReadTimeHeader(name)) {
    const bool twice = std::any_of(
        reading.times.begin(), reading.times.end(),
        [&start](const TimeColumn& it) { return it.start == *start; });
    if (twice) {
      AddFault(reading, 0, column, "this time of day stands twice");
    }
    reading.times.push_back(TimeColumn{.column = column, .start = *start});
    return;
  }
  const auto* const it =
      std::find_if(kColumns.begin(), kColumns.end(),
                   [&name](const Column& rule) { return rule.name == name; });
  if (it == kColumns.end()) {
    std::vector<std::string> known;
    known.reserve(kColumns.size());
    for (const auto& rule : kColumns) {
      known.emplace_back(rule.name);
    }
    AddFault(reading, 0, column,
             "neither a known column nor a time of day like 07:30" +
                 Suggestion(name, known));
    return;
  }
  auto& place =
      reading.columns[static_cast<std::size_t>(it - kColumns.begin())];
  if (place) {
    AddFault(reading, 0, column, "this column stands twice");
  }
  place = column;
}

/// @return Whether any row has something in a column.
auto IsUsed(const Reading& reading, std::size_t column) -> bool {
  return std::any_of(reading.table.rows.begin(), reading.table.rows.end(),
                     [column](const auto& row) {
                       return column < row.size() && !row[column].empty();
                     });
}

auto ReadHeader(Reading& reading) -> void {
  if (reading.table.rows.empty()) {
    AddFault(reading, 0, 0, "the sheet is empty");
    return;
  }
  for (std::size_t n = 0; n < reading.table.rows[0].size(); ++n) {
    // Spreadsheets export the columns right of the table as empty ones.
    if (IsUsed(reading, n)) {
      ReadHeaderCell(reading, n);
    }
  }
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    if (kColumns[n].required && !reading.columns[n]) {
      AddFault(reading, 0, reading.table.rows[0].size(),
               "column '" + std::string(kColumns[n].name) + "' is missing");
    }
  }
}

/// Runs a cell reader and notes its refusal.
auto ReadCell(Reading& reading,
              std::size_t row,
              std::size_t column,
              const std::function<void()>& read) -> void {
  try {
    read();
  } catch (const Error& error) {
    AddFault(reading, row, column, error.what());
  }
}

/// @return The zones that a date is a holiday in; empty when in all.
auto ReadHolidayZones(Reading& reading, std::size_t row, const std::string& day)
    -> std::vector<std::string> {
  std::vector<std::string> zones;
  const std::string cell = CellOf(reading, row, kZonesColumn);
  if (!cell.empty() && !day.empty() && day != kDaily) {
    ReadCell(reading, row, *reading.columns[kZonesColumn],
             [&] { zones = ReadZonesCell(cell); });
  }
  return zones;
}

auto ReadDemand(Reading& reading,
                std::size_t row,
                const std::string& service,
                const std::string& day) -> void {
  const auto& cells = reading.table.rows[row];
  const auto zones = ReadHolidayZones(reading, row, day);
  bool any = false;
  for (const auto& it : reading.times) {
    if (it.column >= cells.size() || cells[it.column].empty()) {
      continue;
    }
    any = true;
    ReadCell(reading, row, it.column, [&] {
      const double rate =
          ReadRateCell(cells[it.column], reading.table.separator);
      reading.sheet.demand.push_back(
          SheetDemand{.service = service,
                      .row = DemandRow{.day = day,
                                       .start = it.start,
                                       .requests_per_second = rate,
                                       .zones = zones}});
    });
  }
  if (!any && !day.empty() && day != kDaily) {
    AddFault(reading, row, reading.columns[kDayColumn].value_or(0),
             "the row of a holiday holds no demand");
  }
}

auto ReadService(Reading& reading, std::size_t row, const std::string& name)
    -> void {
  Service service{.name = name};
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    const std::string cell = CellOf(reading, row, n);
    const bool expected = kColumns[n].required || !cell.empty();
    if (kColumns[n].apply != nullptr && reading.columns[n] && expected) {
      ReadCell(reading, row, *reading.columns[n],
               [&] { kColumns[n].apply(service, cell); });
    }
  }
  for (const auto& other : reading.sheet.services) {
    if (other.address == service.address && service.address.port != 0 &&
        other.transport == service.transport) {
      AddFault(reading, row, reading.columns[3].value_or(0),
               ToString(service.address) + " is also the address of service '" +
                   other.name + "'");
    }
  }
  reading.sheet.services.push_back(service);
}

/// A holiday's row says nothing about the service itself but the zones that
/// have the holiday.
auto CheckHoliday(Reading& reading, std::size_t row) -> void {
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    if (kColumns[n].apply != nullptr && n != kZonesColumn &&
        !CellOf(reading, row, n).empty()) {
      AddFault(reading, row, *reading.columns[n],
               "must be empty in the row of a holiday");
    }
  }
}

auto ReadRow(Reading& reading, std::size_t row) -> void {
  std::string name;
  std::string day;
  const std::size_t name_column = reading.columns[kServiceColumn].value_or(0);
  const std::size_t day_column = reading.columns[kDayColumn].value_or(0);
  ReadCell(reading, row, name_column,
           [&] { name = ReadName(CellOf(reading, row, kServiceColumn)); });
  ReadCell(reading, row, day_column,
           [&] { day = ReadDayCell(CellOf(reading, row, kDayColumn)); });
  const std::size_t width = reading.table.rows[0].size();
  for (std::size_t n = width; n < reading.table.rows[row].size(); ++n) {
    if (!reading.table.rows[row][n].empty()) {
      AddFault(reading, row, n, "a cell right of the last column");
    }
  }
  if (!name.empty() && !day.empty()) {
    const auto [it, inserted] = reading.days.try_emplace(name + " " + day, row);
    if (!inserted) {
      AddFault(reading, row, name_column,
               "service '" + name + "' has this day in row " +
                   std::to_string(it->second + 1) + " already");
      return;
    }
  }
  if (day == kDaily) {
    ReadService(reading, row, name);
  } else if (!day.empty()) {
    CheckHoliday(reading, row);
  }
  ReadDemand(reading, row, name, day);
}

/// The zones of a holiday must be of the service; all of them are the same as
/// none.
auto CheckHolidayZones(Reading& reading, const Service& service) -> void {
  const std::set<std::string> known(service.zones.begin(), service.zones.end());
  for (auto& it : reading.sheet.demand) {
    if (it.service != service.name || it.row.zones.empty()) {
      continue;
    }
    const std::set<std::string> zones(it.row.zones.begin(), it.row.zones.end());
    if (!std::includes(known.begin(), known.end(), zones.begin(),
                       zones.end())) {
      AddFault(reading, reading.days.at(service.name + " " + it.row.day),
               reading.columns[kZonesColumn].value_or(0),
               "service '" + service.name + "' is not in all of these zones");
      return;
    }
    if (zones == known) {
      it.row.zones.clear();
    }
  }
}

/// Each holiday must be one of a service that the sheet describes.
auto CheckServices(Reading& reading) -> void {
  std::vector<std::string> known;
  known.reserve(reading.sheet.services.size());
  for (const auto& it : reading.sheet.services) {
    known.push_back(it.name);
  }
  for (const auto& [key, row] : reading.days) {
    const std::string name = key.substr(0, key.find(' '));
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      AddFault(
          reading, row, reading.columns[kServiceColumn].value_or(0),
          "service '" + name + "' has no daily row" + Suggestion(name, known));
    }
  }
  for (const auto& it : reading.sheet.services) {
    CheckHolidayZones(reading, it);
  }
  if (known.empty() && reading.faults.empty()) {
    AddFault(reading, 0, 0, "the sheet describes no service");
  }
}

auto ReadRows(Reading& reading) -> void {
  // Without the names of services, each row would be a fault.
  if (!reading.columns[kServiceColumn]) {
    return;
  }
  for (std::size_t n = 1; n < reading.table.rows.size(); ++n) {
    if (!IsEmptyRow(reading.table.rows[n])) {
      ReadRow(reading, n);
    }
  }
  CheckServices(reading);
}

/// @return The faults by place, in the words of spreadsheets.
auto ListFaults(Reading& reading) -> std::vector<SheetFault> {
  std::stable_sort(reading.faults.begin(), reading.faults.end(),
                   [](const CsvFault& a, const CsvFault& b) {
                     return a.row != b.row ? a.row < b.row
                                           : a.column < b.column;
                   });
  std::vector<SheetFault> faults;
  faults.reserve(reading.faults.size());
  for (const auto& it : reading.faults) {
    const bool has_header =
        !reading.table.rows.empty() && it.column < reading.table.rows[0].size();
    faults.push_back(
        SheetFault{.row = it.row + 1,
                   .column = CsvColumnName(it.column),
                   .key = has_header ? reading.table.rows[0][it.column] : "",
                   .reason = it.reason});
  }
  return faults;
}

auto FaultText(const SheetFault& fault, const std::string& file)
    -> std::string {
  return file + ": row " + std::to_string(fault.row) + ", column " +
         fault.column + (fault.key.empty() ? "" : " (" + fault.key + ")") +
         ": " + fault.reason;
}

}  // namespace

auto CheckSheet(const std::string& text) -> CheckedSheet {
  Reading reading{.table = ParseCsv(text)};
  reading.faults = reading.table.faults;
  if (!IsUtf8(text)) {
    AddFault(reading, 0, 0, "the file is not UTF-8; export it as CSV UTF-8");
  } else {
    ReadHeader(reading);
    ReadRows(reading);
  }
  auto faults = ListFaults(reading);
  return CheckedSheet{.sheet = std::move(reading.sheet),
                      .faults = std::move(faults)};
}

auto ParseSheet(const std::string& text, const std::string& file) -> Sheet {
  auto checked = CheckSheet(text);
  std::string faults;
  for (const auto& it : checked.faults) {
    faults += (faults.empty() ? "" : "\n") + FaultText(it, file);
  }
  if (!faults.empty()) {
    throw Error(ErrorKind::kInvalidSettings, faults);
  }
  return std::move(checked.sheet);
}

auto ListServiceColumns() -> std::vector<std::string> {
  std::vector<std::string> names;
  names.reserve(kColumns.size());
  for (const auto& it : kColumns) {
    if (it.apply != nullptr) {
      names.emplace_back(it.name);
    }
  }
  return names;
}

auto SetServiceColumn(Service& service,
                      const std::string& column,
                      const std::string& cell) -> void {
  for (const auto& it : kColumns) {
    if (it.apply == nullptr || it.name != column) {
      continue;
    }
    try {
      it.apply(service, cell);
      return;
    } catch (const Error& error) {
      throw Error(error.kind(), column + ": " + error.what());
    }
  }
  throw Error(ErrorKind::kInvalidSettings,
              column + ": there is no such column");
}

}  // namespace hawthornbank
