/** Transport and messages between entry daemons. */
package org.marigoldturn.peer;
