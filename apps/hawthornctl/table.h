#ifndef HAWTHORNBANK_APPS_HAWTHORNCTL_TABLE_H_
#define HAWTHORNBANK_APPS_HAWTHORNCTL_TABLE_H_

#include <string>
#include <vector>

/// @file
/// Prints tables as text for operators or as JSON for programs.
namespace hawthornbank::hawthornctl {

/// A table: the first row holds the names of the columns.
using Table = std::vector<std::vector<std::string>>;

/// Prints a table as text with aligned columns, or as a JSON array with one
/// object for each row.
/// @param table The table.
/// @param json Whether to print JSON.
auto PrintTable(const Table& table, bool json) -> void;

}  // namespace hawthornbank::hawthornctl

#endif  // HAWTHORNBANK_APPS_HAWTHORNCTL_TABLE_H_
