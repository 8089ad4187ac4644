package org.marigoldturn.rights;

/** Names of the resources to which rights exist. */
public final class Resources {
    private Resources() {}

    /** Returns the resource of a team's limit on running work. */
    public static String team(String teamName) {
        return "team:" + teamName;
    }

    /** Returns the resource of a host's slots. */
    public static String host(String hostName) {
        return "host:" + hostName;
    }

    /** Returns the name of the slots of all hosts of a pool, in reports and hints. */
    public static String pool(String poolName) {
        return "pool:" + poolName;
    }
}
