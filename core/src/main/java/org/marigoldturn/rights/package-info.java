/**
 * Rights to run requests, by which daemons enforce team limits and host slots without asking each
 * other. A right is a permit to run one request; each right is held by one daemon, and daemons
 * transfer rights to each other.
 */
package org.marigoldturn.rights;
