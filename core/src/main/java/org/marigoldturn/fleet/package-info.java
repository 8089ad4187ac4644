/**
 * Host life cycle, availability budgets, zone drains and restores, maintenance waves, and loans of
 * hosts.
 */
package org.marigoldturn.fleet;
