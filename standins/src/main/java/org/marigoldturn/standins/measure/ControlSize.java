package org.marigoldturn.standins.measure;

/** Size of a fleet for the measurement of control cost. */
record ControlSize(int daemons, int hosts, int teams, int pools) {
    static final ControlSize BASE = new ControlSize(3, 35, 6, 5);
    static final ControlSize DESIGN = new ControlSize(9, 1_700, 51, 95);

    String label() {
        return "%d-daemons.%d-hosts.%d-teams.%d-pools".formatted(daemons, hosts, teams, pools);
    }
}
