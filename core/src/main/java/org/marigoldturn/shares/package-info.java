/** Weighted max-min allocation of a full fleet among teams. */
package org.marigoldturn.shares;
