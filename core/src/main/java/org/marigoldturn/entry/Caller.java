package org.marigoldturn.entry;

import java.util.Optional;
import org.marigoldturn.admission.TeamTerms;
import org.marigoldturn.settings.ServiceSettings;

/**
 * Who sends a request to which service. Immutable.
 *
 * @param keyId id of the presented key; empty on open services without a key
 */
record Caller(ServiceSettings service, TeamTerms terms, Optional<String> keyId) {}
