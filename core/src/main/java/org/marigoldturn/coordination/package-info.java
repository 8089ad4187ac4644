/** Runs the scheduling of jobs in one owner at a time and gives all daemons the way to it. */
package org.marigoldturn.coordination;
