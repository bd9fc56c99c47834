#ifndef HAWTHORNBANK_SRC_TRANSPORT_VERSION_H_
#define HAWTHORNBANK_SRC_TRANSPORT_VERSION_H_

namespace hawthornbank::transport {

/// @return Version of this build, as printed by --version.
auto GetVersion() -> const char*;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_VERSION_H_
