package org.marigoldturn.membership;

import org.marigoldturn.settings.MemberSet;

/**
 * A change of the member set by one member.
 *
 * @param baseVersion version that a majority holds; the change must be committed on exactly it
 * @param next complete resulting set
 * @param reason change and member, for the log and the history
 */
public record MemberSetChange(long baseVersion, MemberSet next, String reason) {}
