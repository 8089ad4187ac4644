/** HTTP service for operators: settings changes, status and dry runs. */
package org.marigoldturn.operator;
