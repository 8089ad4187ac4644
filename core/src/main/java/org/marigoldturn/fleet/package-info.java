/** Host life cycle, availability budgets, zone work and maintenance waves. */
package org.marigoldturn.fleet;
