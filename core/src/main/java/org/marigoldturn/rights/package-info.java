/** Divisible rights held by daemons for team limits and host slots. */
package org.marigoldturn.rights;
