package org.marigoldturn.standins;

import java.util.Arrays;
import org.marigoldturn.standins.measure.Measure;

/**
 * Runs a stand-in as a process, the quickstart or the measurements.
 *
 * <p>A stand-in prints {@code ready port=PORT} once it serves.
 */
public final class StandInMain {
    private StandInMain() {}

    /**
     * Runs one of the commands {@code store}, {@code target NAME SLOTS}, {@code quickstart} and
     * {@code measure}.
     */
    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            throw new IllegalArgumentException("expected: store | target | quickstart | measure");
        }
        switch (args[0]) {
            case "store" -> {
                StoreServer store = new StoreServer(0);
                System.out.println("ready port=" + store.start() + " admin=" + store.adminPort());
            }
            case "target" ->
                    printReady(new TargetServer(args[1], Integer.parseInt(args[2]), 0).start());
            case "quickstart" -> Quickstart.run();
            case "measure" -> Measure.main(Arrays.copyOfRange(args, 1, args.length));
            default ->
                    throw new IllegalArgumentException("unknown command " + Arrays.toString(args));
        }
    }

    private static void printReady(int port) {
        System.out.println("ready port=" + port);
    }
}
