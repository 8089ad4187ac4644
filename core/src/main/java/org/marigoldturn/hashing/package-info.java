/** Rendezvous hashing, with which daemons agree on owners without exchanging messages. */
package org.marigoldturn.hashing;
