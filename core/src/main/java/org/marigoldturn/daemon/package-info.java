/** Composition of one entry daemon, and the services that run on its control thread. */
package org.marigoldturn.daemon;
