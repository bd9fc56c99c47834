#ifndef HAWTHORNBANK_SRC_PROTOCOL_SHEET_H_
#define HAWTHORNBANK_SRC_PROTOCOL_SHEET_H_

#include <cstddef>
#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// The sheet that planners export: which services run where, and the demand
/// to expect through the day and on holidays.
///
/// The header names the columns, in any order: service, day, transport,
/// address, zones, slots, connections, targets, and if wanted weight,
/// counts_double and drain_limit_s; then a column for each time of day, named
/// as "07:30", that holds requests per second from then on. A row whose day is
/// "daily" (or empty) describes a service; a row whose day is a date, as
/// "2026-12-24", holds that day's demand and leaves the other columns empty,
/// but for zones, which then names those that have the holiday.
namespace hawthornbank {

/// Demand of a service, which a sheet knows only by its name.
struct SheetDemand {
  std::string service;
  DemandRow row;  ///< Its service identity is not set.
};

/// What a sheet says. Identities of services are not set.
struct Sheet {
  std::vector<Service> services;
  std::vector<SheetDemand> demand;
};

/// A fault of a sheet and its place.
struct SheetFault {
  std::size_t row = 0;  ///< As in the spreadsheet, from 1.
  std::string column;   ///< "D".
  std::string key;      ///< Header of the column, or empty.
  std::string reason;
};

/// A sheet as read; without faults it is whole.
struct CheckedSheet {
  Sheet sheet;
  std::vector<SheetFault> faults;  ///< In the order of rows and columns.
};

/// Reads a sheet and lists all its faults.
/// @param text CSV text.
/// @return What it says, and its faults.
auto CheckSheet(const std::string& text) -> CheckedSheet;

/// Reads a sheet, whole or not at all.
/// @param text CSV text.
/// @param file Name of the file in error messages.
/// @return The sheet.
/// @throws Error kInvalidSettings; its message lists all faults, one a line:
///         "file: row 3, column D (address): why".
auto ParseSheet(const std::string& text, const std::string& file) -> Sheet;

/// @return The columns that hold fields of a service.
auto ListServiceColumns() -> std::vector<std::string>;

/// Sets a field of a service as the cell of a column would.
/// @param service The service.
/// @param column Name of the column.
/// @param cell The value, as in a sheet.
/// @throws Error kInvalidSettings "column: why" when either is wrong.
auto SetServiceColumn(Service& service,
                      const std::string& column,
                      const std::string& cell) -> void;

/// What the operator confirmed by naming services.
struct SheetConsent {
  std::vector<std::string> drop;    ///< May go, or change their address.
  std::vector<std::string> shrink;  ///< May lose half of their capacity.
};

/// Replaces services and demand of a configuration by those of a sheet.
/// Services keep their identities by name; new ones get identities that were
/// never used. Draining targets and stopping balancers stay as they are.
/// @param configuration What is in force.
/// @param sheet What shall be.
/// @param consent Services that may be dropped or shrunk.
/// @return The new configuration; generation, operation and author unchanged.
/// @throws Error kInvalidSettings listing each service that would be dropped,
///         moved to another address or halved without consent, one a line.
auto ApplySheet(const Configuration& configuration,
                const Sheet& sheet,
                const SheetConsent& consent) -> Configuration;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_SHEET_H_
