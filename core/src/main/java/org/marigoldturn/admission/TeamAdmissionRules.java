package org.marigoldturn.admission;

/**
 * The share weight of a team and whether its running requests are limited, by which its requests
 * are queued.
 *
 * @param team name of the team
 * @param weight share weight, at least 1; used where no entitlement is known
 * @param limited whether requests need a limit right; false for the team of requests without a key
 *     if the settings do not contain it
 */
public record TeamAdmissionRules(String team, int weight, boolean limited) {
    public TeamAdmissionRules {
        if (weight < 1) {
            throw new IllegalArgumentException(
                    "weight of team " + team + " must be at least 1, not " + weight);
        }
    }
}
