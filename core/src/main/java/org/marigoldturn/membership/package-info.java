/** The member set, confirmation of the version in force, and roles. */
package org.marigoldturn.membership;
