/**
 * Small stand-ins for the metadata store, the host list and target hosts, and fleets of processes
 * that use them, for tests, measurements and the quickstart.
 */
package org.marigoldturn.standins;
