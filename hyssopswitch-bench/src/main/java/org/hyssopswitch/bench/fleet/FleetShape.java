package org.hyssopswitch.bench.fleet;

/**
 * The size of a fleet.
 *
 * @param dataCentres data centres, 1 or more
 * @param cells cells of each data centre, 1 or more
 * @param vmsPerCell VMs of each cell, 1 or more
 * @param databases databases in all, each with three endpoints and one team
 * @param accountsPerDatabase client accounts of each database
 */
public record FleetShape(int dataCentres, int cells, int vmsPerCell, int databases, int accountsPerDatabase) {

    /** Checks the ranges. */
    public FleetShape {
        if (dataCentres < 1 || cells < 1 || vmsPerCell < 1 || databases < 0 || accountsPerDatabase < 0) {
            throw new IllegalArgumentException("a fleet must have data centres, cells and VMs, but has " + dataCentres
                    + ", " + cells + " and " + vmsPerCell + " with " + databases + " databases and "
                    + accountsPerDatabase + " client accounts for each");
        }
    }

    /** VMs in all. */
    public int vms() {
        return dataCentres * cells * vmsPerCell;
    }
}
