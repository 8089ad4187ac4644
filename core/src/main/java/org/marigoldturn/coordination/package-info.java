/** Runs the scheduling of jobs on one owner at a time and forwards clients' calls to it. */
package org.marigoldturn.coordination;
