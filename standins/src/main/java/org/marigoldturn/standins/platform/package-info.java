/**
 * Stand-ins for the users' platform, which runs jobs on targets. They follow its published
 * protocol: metadata store, targets, host service and policy service.
 */
package org.marigoldturn.standins.platform;
