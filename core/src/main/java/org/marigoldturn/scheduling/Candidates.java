package org.marigoldturn.scheduling;

import java.util.List;
import java.util.function.Predicate;

/**
 * Targets that may run the tasks of a step. Immutable.
 *
 * @param usable targets on which tasks start
 * @param avoided targets on which none starts for now, although it would run there: after failed
 *     runs, or while they drain for planned work that has not been ordered yet
 */
record Candidates(List<TargetState> usable, List<TargetState> avoided) {
    Candidates {
        usable = List.copyOf(usable);
        avoided = List.copyOf(avoided);
    }

    /** Returns the candidates that meet a condition. */
    Candidates filter(Predicate<TargetState> condition) {
        return new Candidates(
                usable.stream().filter(condition).toList(),
                avoided.stream().filter(condition).toList());
    }
}
