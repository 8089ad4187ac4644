/** Measurements of the components with in-memory daemons and virtual time. */
package org.marigoldturn.standins.measure;
