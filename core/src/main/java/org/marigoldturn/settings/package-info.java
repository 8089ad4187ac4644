/** Versioned settings of the fleet: model, checks, manifest and repository. */
package org.marigoldturn.settings;
