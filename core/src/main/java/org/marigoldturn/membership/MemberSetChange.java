package org.marigoldturn.membership;

import org.marigoldturn.settings.MemberSet;

/**
 * Change of the member set that adds or removes one member.
 *
 * @param baseVersion version that a majority holds; the change may be committed only as its direct
 *     successor
 * @param next complete resulting set
 * @param reason kind of the change, id of the member and any evidence, for the log
 */
public record MemberSetChange(long baseVersion, MemberSet next, String reason) {}
