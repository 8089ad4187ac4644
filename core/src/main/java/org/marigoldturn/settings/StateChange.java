package org.marigoldturn.settings;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;

/**
 * A change that can be applied to any state, and again if another change is committed first.
 *
 * @param changeId unique id of the change
 * @param author operator or daemon that makes the change
 * @param baseVersion version on which the change is based, or {@link SettingsChange#ANY_VERSION}
 * @param paths paths that the change edits
 * @param update computes the content after the change from the newest state
 */
record StateChange(
        String changeId,
        String author,
        long baseVersion,
        List<String> paths,
        Function<VersionedState, Either<List<SettingsError>, Content>> update) {
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
     * <p>It lists no paths, because the new members and rights are computed from the newest state
     * at each attempt. Hence it never conflicts unless it has a base version.
     */
    static StateChange ofSystem(
            String changeId,
            String author,
            long baseVersion,
            Function<VersionedState, SystemState> update) {
        return new StateChange(
                changeId,
                author,
                baseVersion,
                List.of(),
                state ->
                        Either.right(
                                new Content(
                                        state.settings(),
                                        withGeneration(state, update.apply(state)))));
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

    /** Increments the generation of a changed member set, so that a daemon detects missed sets. */
    private static SystemState withGeneration(VersionedState state, SystemState next) {
        MemberSet current = state.members();
        boolean changed = !next.members().members().equals(current.members());
        long generation = changed ? current.generation() + 1 : current.generation();
        return new SystemState(new MemberSet(next.members().members(), generation), next.rights());
    }
}
