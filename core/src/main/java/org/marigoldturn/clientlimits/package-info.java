/** Limits on what the clients of a server may make it hold: one guard for each connection. */
package org.marigoldturn.clientlimits;
