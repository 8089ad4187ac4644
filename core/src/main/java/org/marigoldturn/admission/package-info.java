/**
 * Admission: keys, queues per pool and team, and the local order in which requests start. The
 * central concept is the {@link org.marigoldturn.admission.PoolQueue}.
 */
package org.marigoldturn.admission;
