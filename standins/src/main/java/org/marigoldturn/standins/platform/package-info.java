/**
 * Stand-ins for the users' platform, which follow its published protocol: metadata store, targets,
 * host service and policy service.
 */
package org.marigoldturn.standins.platform;
