#include "known_names.h"

#include <iostream>

#include "hawthornbank/error.h"
#include "in_force.h"
#include "names.h"
#include "protocol/name.h"

namespace hawthornbank::hawthornctl {
namespace {

auto FetchNames(const std::string& what,
                NamesOf names_of,
                const CommonArguments& common) -> std::vector<std::string> {
  try {
    return names_of(FetchStatus(BalancerAddresses(common)));
  } catch (const Error& error) {
    throw Error(error.kind(), std::string(error.what()) + "\nThe " + what +
                                  "'s name can't be checked then. To go ahead "
                                  "all the same, give --unchecked.");
  }
}

}  // namespace

UncheckedArgument::UncheckedArgument(TCLAP::CmdLine& command)
    : unchecked("",
                "unchecked",
                "Don't ask the balancers whether the names exist",
                command) {}

auto CheckNames(const std::string& what,
                const std::vector<std::string>& names,
                NamesOf names_of,
                const CommonArguments& common,
                const UncheckedArgument& unchecked) -> void {
  if (!unchecked.unchecked.getValue()) {
    RequireNames(what, names, FetchNames(what, names_of, common));
    return;
  }
  for (const auto& it : names) {
    std::cerr << "hawthornctl: not checked whether there is a " << what << " '"
              << ReadName(it) << "'\n";
  }
}

}  // namespace hawthornbank::hawthornctl
