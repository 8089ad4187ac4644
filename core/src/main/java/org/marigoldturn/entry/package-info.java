/**
 * Filter chain that serves callers over HTTP. The central concept is the {@code Exchange}: one
 * request that passes the filters authenticate, classify, admit, select, dispatch and respond.
 */
package org.marigoldturn.entry;
