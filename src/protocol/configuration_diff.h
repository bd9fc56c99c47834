#ifndef HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_
#define HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// Differences between two configurations, formatted for operators.
namespace hawthornbank {

/// One changed field. `before` is empty for an added field, `after` for a
/// removed one.
struct ConfigurationChange {
  std::string subject;  ///< "service fitquote" or "target fitquote-3".
  std::string field;    ///< "targets" or "demand daily 07:30".
  std::string before;
  std::string after;
};

/// Name and text value of a service field.
struct ServiceField {
  std::string name;
  std::string value;
};

/// Lists the fields of a service under the names of the sheet's columns.
/// @param service Service to list.
/// @return All fields except name and identity.
auto ListServiceFields(const Service& service) -> std::vector<ServiceField>;

/// Lists the changes from one configuration to another.
/// @param before Older configuration.
/// @param after Newer configuration.
/// @return The changes; generation, operation and author are not compared.
auto DiffConfigurations(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange>;

/// Formats a change as one line of text.
/// @param change Change to format.
/// @return "+ subject: field value", "- ..." or "~ subject: field a -> b".
auto FormatConfigurationChange(const ConfigurationChange& change)
    -> std::string;

/// Formats a time of day.
/// @param time Time since midnight.
/// @return Hours and minutes, such as "07:30".
auto FormatTimeOfDay(std::chrono::minutes time) -> std::string;

/// Formats a request rate without trailing zeros.
/// @param rate Requests per second.
/// @return The rate as text, such as "12.5".
auto FormatRequestRate(double rate) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_
