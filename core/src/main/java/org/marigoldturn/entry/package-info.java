/** Filter chain that serves callers' requests over HTTP. */
package org.marigoldturn.entry;
