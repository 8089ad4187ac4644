/**
 * Distribution of slots and team limits by demand: daemons report their demand, and for each pool
 * and team limit one of them, the coordinator, divides the rights among teams by weighted max-min
 * allocation and asks daemons to transfer rights accordingly.
 */
package org.marigoldturn.shares;
