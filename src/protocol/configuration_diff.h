#ifndef HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_
#define HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_

#include <string>
#include <vector>

#include "hawthornbank/configuration.h"

/// @file
/// Differences of two configurations, in the words of operators.
namespace hawthornbank {

/// One difference. An empty side means that it isn't there.
struct ConfigurationChange {
  std::string subject;  ///< "service fitquote", "target fitquote-3".
  std::string field;    ///< "targets", "demand daily 07:30".
  std::string before;
  std::string after;
};

/// A field of a service, as text.
struct ServiceField {
  std::string name;
  std::string value;
};

/// Lists the fields of a service under the names of the sheet's columns.
/// @param service A service.
/// @return Its fields without name and identity.
auto ListFields(const Service& service) -> std::vector<ServiceField>;

/// Lists what changes from one configuration to another.
/// @param before The older one.
/// @param after The newer one.
/// @return The differences; generation, operation and author are left out.
auto DiffConfigurations(const Configuration& before, const Configuration& after)
    -> std::vector<ConfigurationChange>;

/// Formats a difference as a line.
/// @param change A difference.
/// @return "+ subject: field value", "- ..." or "~ subject: field a -> b".
auto ToText(const ConfigurationChange& change) -> std::string;

/// Formats a time of day.
/// @param time Since midnight.
/// @return "07:30".
auto FormatTime(std::chrono::minutes time) -> std::string;

/// Formats a rate without trailing zeros.
/// @param rate Requests per second.
/// @return "12.5".
auto FormatRate(double rate) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_CONFIGURATION_DIFF_H_
