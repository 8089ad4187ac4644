/** Target selection, attempts, retries and the outcome of each request. */
package org.marigoldturn.routing;
