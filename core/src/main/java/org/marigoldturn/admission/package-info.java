/** Keys, queues and the local order in which requests start. */
package org.marigoldturn.admission;
