#ifndef HAWTHORNBANK_SRC_TRANSPORT_AGENT_SETUP_H_
#define HAWTHORNBANK_SRC_TRANSPORT_AGENT_SETUP_H_

#include "hawthornbank/announcer.h"
#include "hawthornbank/coap_gate.h"
#include "hawthornbank/configuration.h"
#include "transport/settings.h"

/// @file
/// Builds the options of an agent's request gate and announcer from the agent's
/// settings and the target's service.
namespace hawthornbank::transport {

/// Builds the options of the agent's request gate.
/// @param settings Settings of the agent.
/// @param service The service that the agent's target serves.
/// @param incarnation The agent's incarnation.
/// @return The request gate's options.
auto MakeGateOptions(const Settings& settings,
                     const Service& service,
                     Incarnation incarnation) -> CoapGateOptions;

/// Builds the options of the agent's announcer.
/// @param settings Settings of the agent.
/// @param service The service that the agent's target serves.
/// @param incarnation The agent's incarnation.
/// @return The target record to announce, and the seed balancers.
auto MakeAnnouncerOptions(const Settings& settings,
                          const Service& service,
                          Incarnation incarnation) -> AnnouncerOptions;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_AGENT_SETUP_H_
