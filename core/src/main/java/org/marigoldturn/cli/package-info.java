/** Command line of marigoldturn, which runs daemons and calls their operator ports. */
package org.marigoldturn.cli;
