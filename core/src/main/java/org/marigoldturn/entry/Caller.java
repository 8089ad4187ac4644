package org.marigoldturn.entry;

import java.util.Optional;
import org.marigoldturn.admission.TeamAdmissionRules;
import org.marigoldturn.settings.ServiceSettings;

/**
 * The service that a request is for, and the team that sends it. Immutable.
 *
 * @param keyId id of the presented key; empty if the service is open and no key was presented
 */
record Caller(ServiceSettings service, TeamAdmissionRules rules, Optional<String> keyId) {}
