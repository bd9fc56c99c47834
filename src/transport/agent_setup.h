#ifndef HAWTHORNBANK_SRC_TRANSPORT_AGENT_SETUP_H_
#define HAWTHORNBANK_SRC_TRANSPORT_AGENT_SETUP_H_

#include "hawthornbank/announcer.h"
#include "hawthornbank/coap_gate.h"
#include "hawthornbank/configuration.h"
#include "transport/settings.h"

/// @file
/// Options of an agent's parts, from its settings and its service.
namespace hawthornbank::transport {

/// @param settings Settings of the agent.
/// @param service The service that its target serves.
/// @param incarnation The agent's incarnation.
/// @return Limits and identity of its request gate.
auto GateOptionsFor(const Settings& settings,
                    const Service& service,
                    Incarnation incarnation) -> CoapGateOptions;

/// @param settings Settings of the agent.
/// @param service The service that its target serves.
/// @param incarnation The agent's incarnation.
/// @return What it announces, and where to begin.
auto AnnouncerOptionsFor(const Settings& settings,
                         const Service& service,
                         Incarnation incarnation) -> AnnouncerOptions;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_AGENT_SETUP_H_
