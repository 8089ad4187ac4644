/** Root of the marigoldturn fleet capacity and maintenance manager. */
package org.marigoldturn;
