/**
 * Filter chain that serves callers over HTTP. An {@code Exchange} is one request on its way through
 * the filters authenticate, classify, admit, select, dispatch and respond.
 */
package org.marigoldturn.entry;
