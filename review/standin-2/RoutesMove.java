import java.util.ArrayList;
import java.util.List;

/** A queue is sent to another service; a worker is cut off; the owner is killed. Rule: TWICE. */
final class RoutesMove {
    private static final String PATH = "/archive/5c0e7a21d94b3601";

    public static void main(String[] args) {
        Case.run(args, RoutesMove::steps);
    }

    private static boolean steps(Case test) throws Exception {
        test.configure(1, "north south", "archive north 4");
        List<Worker> north = test.workers(1, 6, "north");
        test.workers(7, 12, "south");
        test.startDaemons(3);
        String body =
                "{\"Spec\":\"lasting\",\"Steps\":[{\"Count\":2,\"Cpu\":3000,\"MemMb\":1000,"
                        + "\"EstimateMs\":700,\"AntiAffinity\":1,\"LongRunning\":true}]}";
        if (test.submit(test.other(), PATH, body).status() / 100 != 2) {
            throw new IllegalStateException("the job was not accepted");
        }
        test.await("task at work", 20, () -> north.stream().anyMatch(w -> !w.running().isEmpty()));
        Worker first =
                north.stream().filter(w -> !w.running().isEmpty()).findFirst().orElseThrow();
        test.configure(2, "north south", "archive south 4");
        Case.sleep(6_000);
        if (test.trouble) {
            first.setCut(true);
            Case.sleep(700);
            Daemon owner = test.owner();
            owner.kill();
            Case.sleep(1_000);
            owner.start();
            Case.sleep(3_800);
            first.setCut(false);
        } else {
            Case.sleep(5_500);
        }
        Case.sleep(6_000);
        test.state(PATH);
        return overlaps();
    }

    /** Returns whether two runs of one task were at work at the same time, on workers that are up. */
    static boolean overlaps() {
        boolean found = false;
        List<Worker.Run> earlier = new ArrayList<>();
        for (Worker.Run run : Worker.allRuns()) {
            for (Worker.Run other : earlier) {
                long both = Math.min(run.endMillis, other.endMillis) - run.startMillis;
                if (other.task.equals(run.task) && both > 0) {
                    found = true;
                    Case.log(
                            "TWICE: task=" + run.task + " run=" + other.number + " on " + other.worker
                                    + " and run=" + run.number + " on " + run.worker
                                    + " at the same time for " + both + " ms");
                }
            }
            earlier.add(run);
        }
        return found;
    }
}
