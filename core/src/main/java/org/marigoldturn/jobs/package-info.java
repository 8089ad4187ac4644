/** Jobs handed in by client accounts: steps, tasks, their durable records and the queues' rules. */
package org.marigoldturn.jobs;
