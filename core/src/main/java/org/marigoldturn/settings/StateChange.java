package org.marigoldturn.settings;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;

/**
 * A change that can be applied to any state; applied again after each lost race.
 *
 * @param changeId unique id of the change
 * @param author operator or daemon that makes the change
 * @param baseVersion version on which the author decided, or {@link SettingsChange#ANY_VERSION}
 * @param paths paths that the change touches
 * @param step computes the content after the change from the newest state
 */
record StateChange(
        String changeId,
        String author,
        long baseVersion,
        List<String> paths,
        Function<VersionedState, Either<List<SettingsError>, Content>> step) {
    private static final int MAX_TEXT_LENGTH = 200;

    /** Content of a version without its manifest. */
    record Content(FleetSettings settings, SystemState system) {}

    StateChange {
        requireText("change id", changeId);
        requireText("author", author);
        paths = List.copyOf(paths);
    }

    /** Creates a change of the operators' settings. */
    static StateChange of(SettingsChange change) {
        return new StateChange(
                change.changeId(),
                change.author(),
                change.baseVersion(),
                change.edits().stream().map(SettingsEdit::path).distinct().toList(),
                state -> edit(state, change.edits()));
    }

    /**
     * Creates a change of the member set or of the division of rights.
     *
     * <p>It touches no path in advance: its step is computed from the newest state each time, so
     * without a base version it never conflicts.
     */
    static StateChange ofSystem(
            String changeId,
            String author,
            long baseVersion,
            Function<VersionedState, SystemState> step) {
        return new StateChange(
                changeId,
                author,
                baseVersion,
                List.of(),
                state ->
                        Either.right(
                                new Content(
                                        state.settings(),
                                        withGeneration(state, step.apply(state)))));
    }

    private static Either<List<SettingsError>, Content> edit(
            VersionedState state, List<SettingsEdit> edits) {
        Either<List<SettingsError>, FleetSettings> edited =
                SettingsEdits.apply(state.settings(), edits);
        if (edited.isLeft()) {
            return Either.left(edited.getLeft());
        }
        List<SettingsError> errors = SettingsChecker.check(edited.get());
        return errors.isEmpty()
                ? Either.right(
                        new Content(edited.get(), new SystemState(state.members(), state.rights())))
                : Either.left(errors);
    }

    private static void requireText(String kind, String text) {
        if (text == null || text.isBlank() || text.length() > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException(
                    kind + " must have 1 to " + MAX_TEXT_LENGTH + " characters, not: " + text);
        }
    }

    /** Numbers the member sets, so that a daemon notices when it has skipped one. */
    private static SystemState withGeneration(VersionedState state, SystemState next) {
        MemberSet held = state.members();
        boolean changed = !next.members().members().equals(held.members());
        long generation = changed ? held.generation() + 1 : held.generation();
        return new SystemState(new MemberSet(next.members().members(), generation), next.rights());
    }
}
