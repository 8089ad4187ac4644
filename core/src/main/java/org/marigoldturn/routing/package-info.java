/**
 * Target selection, host health, attempts, retries and request claims. The central concept is the
 * {@link org.marigoldturn.routing.RequestAttempts}: the states of one request and its outcome.
 */
package org.marigoldturn.routing;
