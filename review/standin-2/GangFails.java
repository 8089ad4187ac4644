import java.util.Set;
import java.util.TreeSet;

/** A worker fails all that it starts; a gang fails there once. Rule: LOST. */
final class GangFails {
    private static final int MAX_ATTEMPTS = 2;
    private static final String PATH = "/match/5c0e7a21d94b3602";

    public static void main(String[] args) {
        Case.run(args, GangFails::steps);
    }

    private static boolean steps(Case test) throws Exception {
        test.configure(1, "north", "match north " + MAX_ATTEMPTS);
        // The smaller worker is the first choice for short tasks.
        Worker grey = test.worker("w1", "north", "r1", 30_000);
        test.workers(2, 12, "north");
        test.startDaemons(3);
        if (test.trouble) {
            grey.setFailsAll(true);
        }
        String body =
                "{\"Spec\":\"work=1500 gang=2\",\"Steps\":[{\"Count\":2,\"Cpu\":2000,\"MemMb\":1000,"
                        + "\"EstimateMs\":1500,\"Gang\":true}]}";
        if (test.submit(test.other(), PATH, body).status() / 100 != 2) {
            throw new IllegalStateException("the job was not accepted");
        }
        Case.sleep(1_000);
        if (test.trouble) {
            grey.setFailsAll(false);
        }
        String state = "";
        for (int i = 0; i < 20 && !state.contains("completed") && !state.contains("failed"); i++) {
            Case.sleep(500);
            state = test.state(PATH);
        }
        Set<Long> failed = new TreeSet<>();
        for (Worker.Run run : Worker.allRuns()) {
            if (run.how.equals("failed")) {
                failed.add(run.number);
            }
        }
        Case.log("runs of the gang that have failed: " + failed + "; MaxAttempts: " + MAX_ATTEMPTS);
        if (!test.trouble && !state.contains("completed")) {
            throw new IllegalStateException("the job did not complete");
        }
        return state.contains("failed") && failed.size() < MAX_ATTEMPTS;
    }
}
