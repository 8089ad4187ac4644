/** Versioned settings of the fleet: records, YAML, checks, manifests and the repository. */
package org.marigoldturn.settings;
