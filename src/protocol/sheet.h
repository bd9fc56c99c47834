#ifndef HAWTHORNBANK_SRC_PROTOCOL_SHEET_H_
#define HAWTHORNBANK_SRC_PROTOCOL_SHEET_H_

#include <cstddef>
#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// The CSV sheet that planners export: which services run in which zones, and
/// the demand expected at each time of day and on holidays.
///
/// The header row names the columns, in any order. Required columns are
/// service, day, transport, address, zones, slots, connections and targets;
/// optional columns are weight, counts_double and drain_limit_s. Each further
/// column is named after a time of day, such as "07:30", and holds the requests
/// per second from that time on. A row whose day is "daily" or empty describes
/// a service. A row whose day is a date, such as "2026-12-24", holds the demand
/// of that holiday; its other columns are empty, except that zones may list the
/// zones that have the holiday.
namespace hawthornbank {

/// A demand row and its service, which a sheet identifies by name.
struct SheetDemand {
  std::string service;
  DemandRow row;  ///< The service identity `row.service` is not set.
};

/// The services and demand of a sheet. The services have no identities yet.
struct Sheet {
  std::vector<Service> services;
  std::vector<SheetDemand> demand;
};

/// A fault in a sheet and the cell where it was found.
struct SheetFault {
  std::size_t row = 0;  ///< Row number in the spreadsheet, from 1.
  std::string column;   ///< Column letters, such as "D".
  std::string header;   ///< Header text of the column, or empty.
  std::string reason;
};

/// The rows of a sheet that could be read; all rows if `faults` is empty.
struct CheckedSheet {
  Sheet sheet;
  std::vector<SheetFault> faults;  ///< Sorted by row, then column.
};

/// Reads a sheet and lists the faults of the sheet.
/// @param text CSV text.
/// @return The rows that could be read, and the faults.
auto CheckSheet(const std::string& text) -> CheckedSheet;

/// Reads a sheet and rejects it if it has any fault.
/// @param text CSV text.
/// @param file File name to show in error messages.
/// @return The sheet.
/// @throws Error kInvalidSettings if the sheet has faults; the message lists
///         the faults, one per line: "file: row 3, column D (address): reason".
auto ParseSheet(const std::string& text, const std::string& file) -> Sheet;

/// @return Names of the columns that set a field of a service.
auto ListServiceColumns() -> std::vector<std::string>;

/// Sets a field of a service from the text of a sheet's cell.
/// @param service Service to change.
/// @param column Name of the column.
/// @param cell Cell text, in the format of the sheet's column.
/// @throws Error kInvalidSettings "column: reason" when the column is unknown
///         or the cell is invalid.
auto SetServiceFieldFromCell(Service& service,
                             const std::string& column,
                             const std::string& cell) -> void;

/// Names of services for which the operator allowed disruptive changes.
struct SheetConsent {
  /// Services that may be dropped or change their address or transport.
  std::vector<std::string> droppable_services;
  /// Services that may lose half of their capacity or more.
  std::vector<std::string> shrinkable_services;
};

/// Replaces services and demand of a configuration by those of a sheet.
/// A service whose name is in the configuration keeps its identity; a new
/// service gets an identity that was never used before. Draining targets and
/// stopping balancers are kept.
/// @param configuration Configuration in force.
/// @param sheet Sheet to apply.
/// @param consent Services that may be dropped or shrunk.
/// @return The new configuration, with the generation, operation and author of
///         the old configuration.
/// @throws Error kInvalidSettings listing, one per line, the changes without
///         consent: a service would be dropped, change its address or
///         transport, or lose half of its capacity or more.
auto ApplySheet(const Configuration& configuration,
                const Sheet& sheet,
                const SheetConsent& consent) -> Configuration;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_SHEET_H_
