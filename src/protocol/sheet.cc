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

/// A named column. `set_field` is null for the columns "service" and "day",
/// which identify a row.
struct ColumnRule {
  std::string_view name;
  bool required;
  auto(*set_field)(Service& service, const std::string& cell) -> void;
};

// clang-format off
constexpr auto kColumns = std::to_array<ColumnRule>({
    {"service", true, nullptr},
    {"day", true, nullptr},
    {"transport", true,
     [](Service& s, const auto& c) { s.transport = ReadTransportCell(c); }},
    {"address", true,
     [](Service& s, const auto& c) { s.address = ReadAddressCell(c); }},
    {"zones", true,
     [](Service& s, const auto& c) { s.zones = ReadZonesCell(c); }},
    {"slots", true,
     [](Service& s, const auto& c) {
       s.slots = ReadIntegerCell(c, {1, 10'000}); }},
    {"connections", true,
     [](Service& s, const auto& c) {
       s.max_connections = ReadIntegerCell(c, {1, 10'000'000}); }},
    {"targets", true,
     [](Service& s, const auto& c) {
       s.target_count = ReadIntegerCell(c, {1, 100'000}); }},
    {"weight", false,
     [](Service& s, const auto& c) {
       s.weight = ReadIntegerCell(c, {1, 10'000}); }},
    {"counts_double", false,
     [](Service& s, const auto& c) {
       s.non_idempotent_counts_double = ReadYesNoCell(c); }},
    {"drain_limit_s", false,
     [](Service& s, const auto& c) {
       s.drain_limit =
           std::chrono::seconds{ReadIntegerCell(c, {1, 604'800})}; }},
});
// clang-format on
constexpr std::size_t kServiceColumn = 0;
constexpr std::size_t kDayColumn = 1;
constexpr std::size_t kZonesColumn = 4;

/// A demand column and the time of day from which the column's demand applies.
struct TimeColumn {
  std::size_t column = 0;
  std::chrono::minutes start{0};
};

/// State of the sheet parser.
struct SheetParseState {
  CsvTable table;
  std::array<std::optional<std::size_t>, kColumns.size()> columns;
  std::vector<TimeColumn> time_columns;
  Sheet sheet;
  /// Row index by service name, a space and the day.
  std::map<std::string, std::size_t> row_by_service_day;
  std::vector<CsvFault> faults;
};

auto AddSheetFault(SheetParseState& state,
                   std::size_t row,
                   std::size_t column,
                   const std::string& reason) -> void {
  state.faults.push_back(
      CsvFault{.row = row, .column = column, .reason = reason});
}

auto IsEmptyRow(const std::vector<std::string>& row) -> bool {
  return std::all_of(row.begin(), row.end(),
                     [](const std::string& cell) { return cell.empty(); });
}

auto ToLowerCase(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// @param named_column Index of a column in kColumns.
/// @return The row's cell in this column, or "" when the sheet lacks the column
///         or the row has fewer columns.
auto GetNamedCell(const SheetParseState& state,
                  std::size_t row,
                  std::size_t named_column) -> std::string {
  const auto& cells = state.table.rows[row];
  const auto column = state.columns[named_column];
  return column && *column < cells.size() ? cells[*column] : "";
}

auto ReadHeaderCell(SheetParseState& state, std::size_t column) -> void {
  const std::string name = ToLowerCase(state.table.rows[0][column]);
  if (const auto start = ReadTimeOfDayHeader(name)) {
    const bool is_duplicate = std::any_of(
        state.time_columns.begin(), state.time_columns.end(),
        [&start](const TimeColumn& it) { return it.start == *start; });
    if (is_duplicate) {
      AddSheetFault(state, 0, column, "this time of day appears twice");
    }
    state.time_columns.push_back(TimeColumn{.column = column, .start = *start});
    return;
  }
  const auto* const it = std::find_if(
      kColumns.begin(), kColumns.end(),
      [&name](const ColumnRule& rule) { return rule.name == name; });
  if (it == kColumns.end()) {
    std::vector<std::string> known;
    known.reserve(kColumns.size());
    for (const auto& rule : kColumns) {
      known.emplace_back(rule.name);
    }
    AddSheetFault(state, 0, column,
                  "neither a known column nor a time of day like 07:30" +
                      FormatSuggestion(name, known));
    return;
  }
  auto& column_index =
      state.columns[static_cast<std::size_t>(it - kColumns.begin())];
  if (column_index) {
    AddSheetFault(state, 0, column, "this column appears twice");
  }
  column_index = column;
}

/// @return Whether any row, including the header, has text in a column.
auto IsColumnUsed(const SheetParseState& state, std::size_t column) -> bool {
  return std::any_of(state.table.rows.begin(), state.table.rows.end(),
                     [column](const auto& row) {
                       return column < row.size() && !row[column].empty();
                     });
}

auto ReadHeaderRow(SheetParseState& state) -> void {
  if (state.table.rows.empty()) {
    AddSheetFault(state, 0, 0, "the sheet is empty");
    return;
  }
  for (std::size_t n = 0; n < state.table.rows[0].size(); ++n) {
    // Spreadsheets may export empty columns to the right of the table.
    if (IsColumnUsed(state, n)) {
      ReadHeaderCell(state, n);
    }
  }
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    if (kColumns[n].required && !state.columns[n]) {
      AddSheetFault(
          state, 0, state.table.rows[0].size(),
          "column '" + std::string(kColumns[n].name) + "' is missing");
    }
  }
}

/// Calls a cell parser and records an error of the parser as a fault of the
/// cell.
auto ReadCellOrAddSheetFault(SheetParseState& state,
                             std::size_t row,
                             std::size_t column,
                             const std::function<void()>& read) -> void {
  try {
    read();
  } catch (const Error& error) {
    AddSheetFault(state, row, column, error.what());
  }
}

/// Records invalid zones in the row of a holiday as a fault.
/// @return The zones that have the holiday; empty when all zones have the
///         holiday, the zones are invalid or the row is not a holiday.
auto ReadHolidayZones(SheetParseState& state,
                      std::size_t row,
                      const std::string& day) -> std::vector<std::string> {
  std::vector<std::string> zones;
  const std::string cell = GetNamedCell(state, row, kZonesColumn);
  if (!cell.empty() && !day.empty() && day != kDaily) {
    ReadCellOrAddSheetFault(state, row, *state.columns[kZonesColumn],
                            [&] { zones = ReadZonesCell(cell); });
  }
  return zones;
}

auto ReadDemandCells(SheetParseState& state,
                     std::size_t row,
                     const std::string& service,
                     const std::string& day) -> void {
  const auto& cells = state.table.rows[row];
  const auto zones = ReadHolidayZones(state, row, day);
  bool has_demand = false;
  for (const auto& it : state.time_columns) {
    if (it.column >= cells.size() || cells[it.column].empty()) {
      continue;
    }
    has_demand = true;
    ReadCellOrAddSheetFault(state, row, it.column, [&] {
      const double rate = ReadRateCell(cells[it.column], state.table.separator);
      state.sheet.demand.push_back(
          SheetDemand{.service = service,
                      .row = DemandRow{.day = day,
                                       .start = it.start,
                                       .requests_per_second = rate,
                                       .zones = zones}});
    });
  }
  if (!has_demand && !day.empty() && day != kDaily) {
    AddSheetFault(state, row, state.columns[kDayColumn].value_or(0),
                  "the row of a holiday holds no demand");
  }
}

auto ReadServiceRow(SheetParseState& state,
                    std::size_t row,
                    const std::string& name) -> void {
  Service service{.name = name};
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    const std::string cell = GetNamedCell(state, row, n);
    const bool must_read = kColumns[n].required || !cell.empty();
    if (kColumns[n].set_field != nullptr && state.columns[n] && must_read) {
      ReadCellOrAddSheetFault(state, row, *state.columns[n],
                              [&] { kColumns[n].set_field(service, cell); });
    }
  }
  for (const auto& other : state.sheet.services) {
    if (other.address == service.address && service.address.port != 0 &&
        other.transport == service.transport) {
      AddSheetFault(state, row, state.columns[3].value_or(0),
                    ToString(service.address) +
                        " is also the address of service '" + other.name + "'");
    }
  }
  state.sheet.services.push_back(service);
}

/// Checks that the row of a holiday sets no service fields. The zones column
/// may list the zones that have the holiday.
auto CheckHolidayRow(SheetParseState& state, std::size_t row) -> void {
  for (std::size_t n = 0; n < kColumns.size(); ++n) {
    if (kColumns[n].set_field != nullptr && n != kZonesColumn &&
        !GetNamedCell(state, row, n).empty()) {
      AddSheetFault(state, row, *state.columns[n],
                    "must be empty in the row of a holiday");
    }
  }
}

auto ReadDataRow(SheetParseState& state, std::size_t row) -> void {
  std::string name;
  std::string day;
  const std::size_t name_column = state.columns[kServiceColumn].value_or(0);
  const std::size_t day_column = state.columns[kDayColumn].value_or(0);
  ReadCellOrAddSheetFault(state, row, name_column, [&] {
    name = ValidateName(GetNamedCell(state, row, kServiceColumn));
  });
  ReadCellOrAddSheetFault(state, row, day_column, [&] {
    day = ReadDayCell(GetNamedCell(state, row, kDayColumn));
  });
  const std::size_t width = state.table.rows[0].size();
  for (std::size_t n = width; n < state.table.rows[row].size(); ++n) {
    if (!state.table.rows[row][n].empty()) {
      AddSheetFault(state, row, n,
                    "this cell is to the right of the last column");
    }
  }
  if (!name.empty() && !day.empty()) {
    const auto [it, inserted] =
        state.row_by_service_day.try_emplace(name + " " + day, row);
    if (!inserted) {
      AddSheetFault(state, row, name_column,
                    "service '" + name + "' has this day in row " +
                        std::to_string(it->second + 1) + " already");
      return;
    }
  }
  if (day == kDaily) {
    ReadServiceRow(state, row, name);
  } else if (!day.empty()) {
    CheckHolidayRow(state, row);
  }
  ReadDemandCells(state, row, name, day);
}

/// Checks that the zones of each holiday belong to the service; only the first
/// violation is recorded. If a holiday lists all zones of the service, the list
/// is cleared, because an empty list means all zones.
auto CheckAndNormaliseHolidayZones(SheetParseState& state,
                                   const Service& service) -> void {
  const std::set<std::string> known(service.zones.begin(), service.zones.end());
  for (auto& it : state.sheet.demand) {
    if (it.service != service.name || it.row.zones.empty()) {
      continue;
    }
    const std::set<std::string> zones(it.row.zones.begin(), it.row.zones.end());
    if (!std::includes(known.begin(), known.end(), zones.begin(),
                       zones.end())) {
      AddSheetFault(
          state, state.row_by_service_day.at(service.name + " " + it.row.day),
          state.columns[kZonesColumn].value_or(0),
          "service '" + service.name + "' is not in all of these zones");
      return;
    }
    if (zones == known) {
      it.row.zones.clear();
    }
  }
}

/// Checks that each row belongs to a service with a daily row, that the zones
/// of each holiday belong to the service, and that there is any service.
auto CheckRowsAgainstServices(SheetParseState& state) -> void {
  std::vector<std::string> known;
  known.reserve(state.sheet.services.size());
  for (const auto& it : state.sheet.services) {
    known.push_back(it.name);
  }
  for (const auto& [key, row] : state.row_by_service_day) {
    const std::string name = key.substr(0, key.find(' '));
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      AddSheetFault(state, row, state.columns[kServiceColumn].value_or(0),
                    "service '" + name + "' has no daily row" +
                        FormatSuggestion(name, known));
    }
  }
  for (const auto& it : state.sheet.services) {
    CheckAndNormaliseHolidayZones(state, it);
  }
  if (known.empty() && state.faults.empty()) {
    AddSheetFault(state, 0, 0, "the sheet describes no service");
  }
}

auto ReadDataRows(SheetParseState& state) -> void {
  // Without a service column, each row would be reported as faulty.
  if (!state.columns[kServiceColumn]) {
    return;
  }
  for (std::size_t n = 1; n < state.table.rows.size(); ++n) {
    if (!IsEmptyRow(state.table.rows[n])) {
      ReadDataRow(state, n);
    }
  }
  CheckRowsAgainstServices(state);
}

/// @return The faults sorted by row, then column, with row numbers and column
///         letters as in spreadsheets.
auto ListSheetFaults(SheetParseState& state) -> std::vector<SheetFault> {
  std::stable_sort(state.faults.begin(), state.faults.end(),
                   [](const CsvFault& a, const CsvFault& b) {
                     return a.row != b.row ? a.row < b.row
                                           : a.column < b.column;
                   });
  std::vector<SheetFault> faults;
  faults.reserve(state.faults.size());
  for (const auto& it : state.faults) {
    const bool has_header =
        !state.table.rows.empty() && it.column < state.table.rows[0].size();
    faults.push_back(
        SheetFault{.row = it.row + 1,
                   .column = FormatColumnName(it.column),
                   .header = has_header ? state.table.rows[0][it.column] : "",
                   .reason = it.reason});
  }
  return faults;
}

auto FormatSheetFault(const SheetFault& fault, const std::string& file)
    -> std::string {
  return file + ": row " + std::to_string(fault.row) + ", column " +
         fault.column +
         (fault.header.empty() ? "" : " (" + fault.header + ")") + ": " +
         fault.reason;
}

}  // namespace

auto CheckSheet(const std::string& text) -> CheckedSheet {
  SheetParseState state{.table = ParseCsv(text)};
  state.faults = state.table.faults;
  if (!IsUtf8WithoutNul(text)) {
    AddSheetFault(state, 0, 0, "the file is not UTF-8; export it as CSV UTF-8");
  } else {
    ReadHeaderRow(state);
    ReadDataRows(state);
  }
  auto faults = ListSheetFaults(state);
  return CheckedSheet{.sheet = std::move(state.sheet),
                      .faults = std::move(faults)};
}

auto ParseSheet(const std::string& text, const std::string& file) -> Sheet {
  auto checked = CheckSheet(text);
  std::string faults;
  for (const auto& it : checked.faults) {
    faults += (faults.empty() ? "" : "\n") + FormatSheetFault(it, file);
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
    if (it.set_field != nullptr) {
      names.emplace_back(it.name);
    }
  }
  return names;
}

auto SetServiceFieldFromCell(Service& service,
                             const std::string& column,
                             const std::string& cell) -> void {
  for (const auto& it : kColumns) {
    if (it.set_field == nullptr || it.name != column) {
      continue;
    }
    try {
      it.set_field(service, cell);
      return;
    } catch (const Error& error) {
      throw Error(error.kind(), column + ": " + error.what());
    }
  }
  throw Error(ErrorKind::kInvalidSettings,
              column + ": there is no such column");
}

}  // namespace hawthornbank
