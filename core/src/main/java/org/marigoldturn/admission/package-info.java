/**
 * Admission of requests: authentication by keys, queues by pool and team, and the order in which
 * requests start at this daemon. The central class is {@link org.marigoldturn.admission.PoolQueue}.
 */
package org.marigoldturn.admission;
