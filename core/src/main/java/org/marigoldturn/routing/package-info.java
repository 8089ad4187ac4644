/**
 * Target selection, host health, attempts, retries and request claims. The central class is {@link
 * org.marigoldturn.routing.RequestAttempts}, which holds the states and the outcome of one request.
 */
package org.marigoldturn.routing;
