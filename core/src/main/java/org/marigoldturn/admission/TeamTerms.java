package org.marigoldturn.admission;

/**
 * Terms under which a team's request competes.
 *
 * @param team name of the team
 * @param weight share weight, used where no entitlement is known
 * @param limited whether the team has a limit right; false for the open team without a record
 */
public record TeamTerms(String team, int weight, boolean limited) {
    public TeamTerms {
        if (weight < 1) {
            throw new IllegalArgumentException(
                    "weight of team " + team + " must be at least 1, not " + weight);
        }
    }
}
