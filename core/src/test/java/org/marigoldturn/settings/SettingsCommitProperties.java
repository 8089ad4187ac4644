package org.marigoldturn.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marigoldturn.store.FakeStore;
import org.marigoldturn.store.FakeStore.Fault;

/** Guards against changes lost or applied twice through store faults or concurrent operators. */
class SettingsCommitProperties {
    private static final String PREFIX = "/marigoldturn/";
    private static final long ANY = SettingsChange.ANY_VERSION;

    private final FakeStore mStore = new FakeStore();
    private final SettingsRepository mRepository = new SettingsRepository(mStore, PREFIX, 0);
    private final SettingsRepository mOther = new SettingsRepository(mStore, PREFIX, 0);

    private static SettingsChange change(String id, long base, SettingsEdit... edits) {
        return new SettingsChange(id, "author-of-" + id, base, List.of(edits));
    }

    private static SettingsEdit.PutTeam team(String name, int limit) {
        return new SettingsEdit.PutTeam(SampleSettings.team(name, limit));
    }

    private static long version(ChangeResult result) {
        return ((ChangeResult.Committed) result).state().state().version();
    }

    private void importFleet(int hosts) {
        SettingsEdit all = new SettingsEdit.ReplaceAll(SampleSettings.fleet(hosts));
        assertThat(version(mRepository.commit(change("import", ANY, all), 1).join())).isEqualTo(1);
    }

    @Property(tries = 200, seed = "4711")
    void storeFaultsLeaveExactlyOneEffect(
            @ForAll List<Fault> plan, @ForAll @IntRange(min = 0, max = 3) int skip) {
        FakeStore store = new FakeStore();
        SettingsRepository repository = new SettingsRepository(store, PREFIX, 0);
        SettingsEdit all = new SettingsEdit.ReplaceAll(SampleSettings.fleet(3));
        repository.commit(change("import", ANY, all), 1).join();
        for (int i = 0; i < skip; i++) {
            store.faults().add(Fault.NONE);
        }
        plan.stream().limit(3).forEach(store.faults()::add);
        SettingsChange change = change("c1", ANY, team("late", 5));
        try {
            assertThat(version(repository.commit(change, 2).join())).isEqualTo(2);
        } catch (CompletionException e) {
            assertThat(e.getCause()).isInstanceOf(SettingsException.class);
        }
        store.faults().clear();
        SettingsRepository fresh = new SettingsRepository(store, PREFIX, 0);
        assertThat(version(fresh.commit(change, 3).join())).isEqualTo(2);
        assertThat(version(repository.commit(change, 4).join())).isEqualTo(2);
        assertThat(fresh.load(Map.of()).join().state().version()).isEqualTo(2);
    }

    @Example
    void refusedCommitIsReportedAsNotCommitted() {
        importFleet(1);
        mStore.faults().addAll(List.of(Fault.NONE, Fault.NONE, Fault.REFUSE));
        assertThatThrownBy(() -> mRepository.commit(change("c", ANY, team("a", 1)), 1).join())
                .hasCauseInstanceOf(ChangeNotCommittedException.class);
        assertThat(mOther.load(Map.of()).join().state().version()).isEqualTo(1);
    }

    @Example
    void committedChangeSentAgainAfterOthersReturnsItsVersion() {
        importFleet(1);
        SettingsChange based = change("c", 1, team("a", 1));
        mRepository.commit(based, 1).join();
        mRepository.commit(change("d", ANY, team("a", 2)), 1).join();
        assertThat(version(mOther.commit(based, 9).join())).isEqualTo(2);
        SettingsChange delete = change("e", ANY, new SettingsEdit.Delete("teams/a"));
        mRepository.commit(delete, 1).join();
        assertThat(version(mOther.commit(delete, 9).join())).isEqualTo(4);
    }

    @Example
    void staleReadCausesNeitherConflictNorInvalidForACommittedChange() {
        importFleet(1);
        mStore.setStaleReads(true);
        SettingsChange delete = change("e", 1, new SettingsEdit.Delete("teams/club"));
        assertThat(version(mRepository.commit(delete, 1).join())).isEqualTo(2);
        SettingsRepository fresh = new SettingsRepository(mStore, PREFIX, 0);
        SettingsChange wrong = change("w", ANY, new SettingsEdit.Delete("teams/club"));
        assertThatThrownBy(() -> fresh.commit(wrong, 1).join())
                .hasRootCauseInstanceOf(SettingsException.class);
        assertThat(mRepository.load(Map.of()).join().state().version()).isEqualTo(2);
        mStore.setStaleReads(false);
        assertThat(version(fresh.commit(delete, 1).join())).isEqualTo(2);
        assertThat(fresh.commit(wrong, 1).join()).isInstanceOf(ChangeResult.Invalid.class);
    }

    @Example
    void staleReadOfTheChangeIdCausesNeitherSecondEffectNorConflictWithItself() {
        importFleet(1);
        mStore.setStaleReads(true);
        SettingsChange any = change("any", ANY, team("a", 1));
        assertThat(version(mRepository.commit(any, 1).join())).isEqualTo(2);
        assertThat(version(mRepository.commit(any, 1).join())).isEqualTo(2);
        SettingsChange based = change("based", 2, team("a", 2));
        assertThat(version(mRepository.commit(based, 1).join())).isEqualTo(3);
        assertThat(version(mRepository.commit(based, 1).join())).isEqualTo(3);
    }

    @Example
    void changeThatIsInvalidOnlyInAStaleReadIsNotReportedAsInvalid() {
        importFleet(1);
        mOther.load(Map.of()).join();
        mStore.setStaleReads(true);
        SettingsEdit pool = new SettingsEdit.PutPool(new PoolSettings("spare", true));
        mRepository.commit(change("p", ANY, pool), 1).join();
        SettingsEdit service = new SettingsEdit.PutService(SampleSettings.service("s", "spare"));
        SettingsChange change = change("s", ANY, service);
        assertThatThrownBy(() -> mOther.commit(change, 1).join())
                .hasCauseInstanceOf(SettingsException.class);
        mStore.setStaleReads(false);
        assertThat(version(mOther.commit(change, 1).join())).isEqualTo(3);
    }

    @Example
    void conflictOnOnePathNamesTheCommittedChangeAndOtherPathsAreRetried() {
        importFleet(1);
        mStore.beforeCommit(() -> mOther.commit(change("win", ANY, team("a", 1)), 1).join());
        ChangeResult lost = mRepository.commit(change("c", ANY, team("a", 2)), 1).join();
        assertThat(lost).isInstanceOf(ChangeResult.Conflict.class);
        ChangeResult.Conflict conflict = (ChangeResult.Conflict) lost;
        assertThat(conflict.path()).isEqualTo("teams/a");
        assertThat(conflict.winner().changeId()).isEqualTo("win");
        assertThat(conflict.winner().author()).isEqualTo("author-of-win");
        mStore.beforeCommit(() -> mOther.commit(change("x", ANY, team("b", 1)), 1).join());
        ChangeResult.Committed retried =
                (ChangeResult.Committed)
                        mRepository.commit(change("d", ANY, team("c", 2)), 1).join();
        assertThat(retried.state().state().settings().teams()).containsKeys("a", "b", "c");
    }

    @Example
    void outdatedBaseConflictsAndFutureBaseIsInvalid() {
        importFleet(1);
        mOther.commit(change("win", ANY, team("z", 1)), 1).join();
        ChangeResult outdated = mRepository.commit(change("c", 1, team("a", 2)), 1).join();
        assertThat(((ChangeResult.Conflict) outdated).winner().changeId()).isEqualTo("win");
        ChangeResult future = mRepository.commit(change("d", 9, team("a", 2)), 1).join();
        assertThat(future).isInstanceOf(ChangeResult.Invalid.class);
    }

    @Example
    void retriedChangeThatBecameInvalidIsNotWritten() {
        importFleet(0);
        SettingsEdit service = new SettingsEdit.PutService(SampleSettings.service("new", "spare"));
        mRepository
                .commit(
                        change("p", ANY, new SettingsEdit.PutPool(new PoolSettings("spare", true))),
                        1)
                .join();
        SettingsChange delete = change("del", ANY, new SettingsEdit.Delete("pools/spare"));
        mStore.beforeCommit(() -> mOther.commit(delete, 1).join());
        ChangeResult result = mRepository.commit(change("c", ANY, service), 1).join();
        assertThat(((ChangeResult.Invalid) result).errors())
                .extracting(SettingsError::path)
                .containsExactly("services/new/pool");
    }

    @Example
    void racingOperatorsLoseNoChange() throws Exception {
        importFleet(0);
        int operators = 8;
        int changes = 5;
        ExecutorService threads = Executors.newFixedThreadPool(operators);
        CountDownLatch start = new CountDownLatch(1);
        List<Future<?>> done = new ArrayList<>();
        for (int i = 0; i < operators; i++) {
            String name = "t" + i;
            done.add(
                    threads.submit(
                            () -> {
                                start.await();
                                SettingsRepository own = new SettingsRepository(mStore, PREFIX, 0);
                                for (int c = 0; c < changes; c++) {
                                    own.commit(change(name + "-" + c, ANY, team(name, c)), 1)
                                            .join();
                                }
                                return null;
                            }));
        }
        start.countDown();
        for (Future<?> future : done) {
            future.get();
        }
        threads.shutdown();
        VersionedState state = mOther.load(Map.of()).join().state();
        assertThat(state.version()).isEqualTo(1 + operators * changes);
        assertThat(state.settings().teams()).hasSize(1 + operators);
        assertThat(state.settings().teams().values())
                .allMatch(t -> t.name().equals("club") || t.runningLimit() == changes - 1);
    }

    @Example
    void importOf1700HostsStaysWithinTheTransactionLimit() {
        // FakeStore throws when a transaction has more than 100 operations.
        importFleet(1_700);
        assertThat(mOther.load(Map.of()).join().state().settings().hosts()).hasSize(1_700);
        assertThat(mStore.calls()).hasSizeLessThan(10);
    }

    @Example
    void systemCommitMintsForTheFirstMembersAndConflictsOnAnOutdatedBase() {
        importFleet(0);
        ChangeResult joined =
                mRepository
                        .commitSystem(
                                "join",
                                "d0",
                                s -> new SystemState(SampleSettings.members(3), s.rights()),
                                1,
                                1)
                        .join();
        RightsDivision rights = ((ChangeResult.Committed) joined).state().state().rights();
        assertThat(rights.teams().get("club").basis()).isEqualTo(Map.of("d0", 4, "d1", 3, "d2", 3));
        ChangeResult late =
                mOther.commitSystem(
                                "late",
                                "d1",
                                s -> new SystemState(MemberSet.EMPTY, s.rights()),
                                1,
                                1)
                        .join();
        assertThat(((ChangeResult.Conflict) late).winner().changeId()).isEqualTo("join");
    }

    @Example
    void systemCommitWithoutBaseIsComputedAgainAfterAConcurrentChange() {
        importFleet(0);
        mStore.beforeCommit(() -> mOther.commit(change("x", ANY, team("b", 6)), 1).join());
        ChangeResult joined =
                mRepository
                        .commitSystem(
                                "join",
                                "d0",
                                s -> new SystemState(SampleSettings.members(2), s.rights()),
                                ANY,
                                1)
                        .join();
        VersionedState state = ((ChangeResult.Committed) joined).state().state();
        assertThat(state.version()).isEqualTo(3);
        assertThat(state.rights().teams().get("b").minted()).isEqualTo(6);
        assertThat(mRepository.commit(change(" ", ANY, team("b", 6)), 1).join())
                .isInstanceOf(ChangeResult.Invalid.class);
    }

    @Example
    void alteredContentIsRejectedWithItsPath() {
        importFleet(1);
        String hash = mRepository.load(Map.of()).join().state().manifest().entries().get("pools");
        mStore.put(PREFIX + "blobs/" + hash, com.google.protobuf.ByteString.copyFromUtf8("{}"));
        assertThatThrownBy(() -> mOther.load(Map.of()).join())
                .hasMessageContaining("pools")
                .hasMessageContaining(hash);
    }

    @Example
    void historyAndKeptVersionsNameTheChangedPaths() {
        importFleet(1);
        mRepository.commit(change("c", ANY, team("a", 1)), 5).join();
        List<HistoryEntry> history = mOther.history(1, 10).join();
        assertThat(history).extracting(e -> e.manifest().changeId()).containsExactly("import", "c");
        assertThat(history.get(1).changedPaths()).containsExactly("system/rights", "teams/a");
        VersionedState first = mOther.loadVersion(1).join().state();
        VersionedState second = mOther.loadVersion(2).join().state();
        assertThat(SettingsPaths.changed(first, second))
                .containsExactly("system/rights", "teams/a");
    }

    @Example
    void cleanUpKeepsWhatTheKeptVersionsAndARunningCommitNeed() {
        importFleet(40);
        for (int i = 0; i < 1_105; i++) {
            mRepository.commit(change("c" + i, ANY, team("a", i)), 1).join();
        }
        SettingsChange running = change("r", ANY, team("a", 3));
        mStore.beforeCommit(() -> mOther.cleanUp().join());
        assertThat(version(mRepository.commit(running, 1).join())).isEqualTo(1_107);
        mOther.cleanUp().join();
        assertThat(mStore.values()).doesNotContainKey(PREFIX + "history/107");
        assertThat(mStore.values()).doesNotContainKey(PREFIX + "changes/import");
        assertThat(mStore.values()).containsKey(PREFIX + "history/108");
        SettingsRepository fresh = new SettingsRepository(mStore, PREFIX, 0);
        assertThat(fresh.load(Map.of()).join().state().version()).isEqualTo(1_107);
        assertThat(fresh.loadVersion(108).join().state().settings().hosts()).hasSize(40);
        long blobs = mStore.values().keySet().stream().filter(k -> k.contains("/blobs/")).count();
        // Each kept version has one team and one rights content of its own; the others are shared.
        assertThat(blobs).isLessThan(2 * 1_000 + 50);
    }
}
