#include "known_names.h"

#include <iostream>

#include "hawthornbank/error.h"
#include "in_force.h"
#include "names.h"
#include "protocol/name.h"

namespace hawthornbank::hawthornctl {
namespace {

auto FetchKnownNames(const std::string& kind,
                     NameLister list_names,
                     const CommonArguments& common)
    -> std::vector<std::string> {
  try {
    return list_names(FetchStatusOfAnyBalancer(ReadBalancerAddresses(common)));
  } catch (const Error& error) {
    throw Error(error.kind(), std::string(error.what()) + "\nThe " + kind +
                                  "'s name can't be checked. To continue "
                                  "without the check, give --unchecked.");
  }
}

}  // namespace

UncheckedArgument::UncheckedArgument(TCLAP::CmdLine& command)
    : unchecked("",
                "unchecked",
                "Don't ask the balancers whether the names exist",
                command) {}

auto CheckNamesWithBalancers(const std::string& kind,
                             const std::vector<std::string>& names,
                             NameLister list_names,
                             const CommonArguments& common,
                             const UncheckedArgument& unchecked) -> void {
  if (!unchecked.unchecked.getValue()) {
    RequireKnownNames(kind, names, FetchKnownNames(kind, list_names, common));
    return;
  }
  for (const auto& it : names) {
    std::cerr << "hawthornctl: not checked whether there is a " << kind << " '"
              << ValidateName(it) << "'\n";
  }
}

}  // namespace hawthornbank::hawthornctl
