/**
 * Rights to run requests, by which daemons enforce team limits and host slots without asking each
 * other. Each right is held by one daemon, and daemons transfer rights to each other. While a limit
 * equals the number of minted rights, one right permits one running request; while a team's limit
 * is lower, a running request needs more than one right.
 */
package org.marigoldturn.rights;
