package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The platform's host service, as PROTOCOL.md describes it, for upkeep only. */
final class Cloud {
    private static final long UPKEEP_MILLIS = 2_000;

    private final Site mSite;
    private final Http mHttp;
    private final Map<String, Long> mTokens = new HashMap<>();
    private final Map<String, Long> mDownUntil = new HashMap<>();
    private final Set<String> mDone = new HashSet<>();
    private boolean mDown;
    private int mMostDown;

    Cloud(Site site) throws Exception {
        mSite = site;
        mHttp = new Http(this::handle);
    }

    String address() {
        return mHttp.address();
    }

    /** While the service is down it answers nothing and carries nothing out. */
    synchronized void setDown(boolean down) {
        mDown = down;
        mSite.record.add("fault", "the host service is %s", down ? "down" : "up again");
        notifyAll();
    }

    /** Returns the most machines that were down for upkeep at the same time. */
    synchronized int mostDown() {
        return mMostDown;
    }

    private synchronized Http.Response handle(Http.Call call) throws Exception {
        if (mDown) {
            while (mDown) {
                wait(1_000);
            }
            return Http.Response.none();
        }
        if (call.path().equals("/v1/machines")) {
            List<Object> machines = new ArrayList<>();
            for (Worker worker : mSite.workers.values()) {
                boolean up = isUp(worker.machine);
                machines.add(Json.of("Machine", worker.machine, "Pool", "s1", "State", up ? "up" : "upkeep",
                        "Zone", "z1", "Labels", List.of("a", "r1"),
                        "Capacity", Json.of("Cpu", 4_000, "MemMb", 131_072, "Gpu", 0),
                        "Id", up ? worker.id : ""));
            }
            return new Http.Response(200, Json.of("Machines", machines, "NextToken", null));
        }
        String machine = Json.text(call.body(), "Machine");
        Http.Response response = upkeep(machine, Json.number(call.body(), "Wave"), call.token());
        mSite.record.add("upkeep", "%s ordered with token %d: %d %s", machine, call.token(), response.status(),
                response.body());
        return response;
    }

    private boolean isUp(String machine) {
        return mDownUntil.getOrDefault(machine, 0L) <= System.nanoTime() / 1_000_000;
    }

    private Http.Response upkeep(String machine, long wave, long token) throws Exception {
        if (token < mTokens.getOrDefault(machine, 0L)) {
            return new Http.Response(409, Json.of("Reason", "fence"));
        }
        mTokens.put(machine, token);
        if (!mDone.add(wave + "/" + machine)) {
            return new Http.Response(200, Json.of());
        }
        mDownUntil.put(machine, System.nanoTime() / 1_000_000 + UPKEEP_MILLIS);
        int down = (int) mDownUntil.keySet().stream().filter(m -> !isUp(m)).count();
        mMostDown = Math.max(mMostDown, down);
        mSite.record.add("upkeep", "%s begins; %d machines are down", machine, down);
        mSite.beginUpkeep(machine, UPKEEP_MILLIS);
        return new Http.Response(200, Json.of());
    }
}
