#ifndef HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_
#define HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// Differences between two configurations, formatted for operators.
namespace hawthornbank {

/// One changed field. `before` is empty for an added field, and `after` is
/// empty for a removed field.
struct ConfigurationChange {
  /// Such as "service fitquote" or "target fitquote-3".
  std::string subject;
  std::string field;  ///< Such as "targets" or "demand daily 07:30".
  std::string before;
  std::string after;
};

/// Name and text value of a service field.
struct ServiceField {
  std::string name;
  std::string value;
};

/// Lists the fields of a service; field names are the sheet's column names.
/// @param service Service to list.
/// @return All fields except name and identifier.
auto ListServiceFields(const Service& service) -> std::vector<ServiceField>;

/// Lists the changes from one configuration to another.
/// @param before Older configuration.
/// @param after Newer configuration.
/// @return Changes of the services, the demand, and the lists of draining,
///     stopping and resting processes. Other members are not compared.
auto DiffConfigurations(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange>;

/// Formats a change as one line of text.
/// @param change Change to format.
/// @return "+ subject: field value" for an added field,
///     "- subject: field value" for a removed field,
///     otherwise "~ subject: field old -> new".
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
