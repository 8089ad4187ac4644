/** Measurements in virtual time and on processes. */
package org.marigoldturn.standins.measure;
