package org.marigoldturn.rights;

/** Builds the names of the resources for which rights exist. */
public final class ResourceNames {
    private ResourceNames() {}

    /** Returns the name of a team's limit on running requests. */
    public static String team(String teamName) {
        return "team:" + teamName;
    }

    /** Returns the name of a host's slots. */
    public static String host(String hostName) {
        return "host:" + hostName;
    }

    /** Returns the name of the slots of all hosts of a pool; used in demand reports and hints. */
    public static String pool(String poolName) {
        return "pool:" + poolName;
    }
}
