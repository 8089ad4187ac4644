/**
 * Stand-ins of the users' platform: metadata store, targets and hosts, by its published protocol.
 */
package org.marigoldturn.standins.platform;
