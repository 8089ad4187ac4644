/** The marigoldturn command line. */
package org.marigoldturn.cli;
