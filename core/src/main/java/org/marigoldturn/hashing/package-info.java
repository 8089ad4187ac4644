/** Rendezvous hashing, by which daemons agree on owners without messages. */
package org.marigoldturn.hashing;
