/** Jobs submitted by client accounts: steps, tasks, durable records and the settings of queues. */
package org.marigoldturn.jobs;
