package org.cornelcrank.server.soak;

import java.util.List;
import java.util.OptionalInt;

import org.cornelcrank.platform.fake.LinkShape;
import org.cornelcrank.platform.fake.ResponsePlan.Rates;

/**
 * The shape of a soak's deployment and load.
 *
 * @param dataCentres the data centres of daemons and targets in turn; the last of several is in another region
 * @param targets the targets at the start, empty to draw a few of which some write responses twice
 * @param refusalPauseMs how long a caller pauses after a refusal, in ms
 * @param readers how many readers read jobs while they run
 * @param partitions the partitions of jobs
 * @param soundTargets the rates of the targets that do not write twice
 * @param regionLink the link between a daemon and a target of another region
 * @param link the link between a daemon and any other target
 * @param maxEvents the limit of the events of a stream
 * @param release whether a release begins the play while daemons are out of step
 */
record SoakShape(
        int daemons,
        List<String> dataCentres,
        OptionalInt targets,
        int callers,
        long refusalPauseMs,
        int readers,
        int partitions,
        boolean storeTroubles,
        Rates soundTargets,
        LinkShape regionLink,
        LinkShape link,
        int maxEvents,
        boolean release) {

    private static final List<String> ONE = List.of("dc-a");

    /** Few daemons with many callers, at which copies of responses show. */
    static final SoakShape COPIES = new SoakShape(
            3, ONE, OptionalInt.empty(), 24, 0, 0, 2, false, Rates.SOUND, LinkShape.DIRECT, LinkShape.DIRECT, 8, false);

    /** Few daemons and callers, and a store with troubles. */
    static final SoakShape TROUBLED = new SoakShape(
            3, ONE, OptionalInt.empty(), 4, 0, 3, 6, true, Rates.SOUND, LinkShape.DIRECT, LinkShape.DIRECT, 8, false);

    /** Two regions, links that split and join segments, targets that break off long streams, and a release. */
    static final SoakShape REGIONS = new SoakShape(
            10,
            List.of("dc-a", "dc-b", "dc-c"),
            OptionalInt.of(9),
            24,
            40,
            4,
            6,
            false,
            Rates.BREAKING,
            new LinkShape(30, 120),
            new LinkShape(1, 120),
            31,
            true);

    /** Returns the regions of the data centres, as a daemon's setting has them. */
    String regions() {
        StringBuilder regions = new StringBuilder();
        for (String dataCentre : dataCentres) {
            regions.append(regions.isEmpty() ? "{" : ",")
                    .append("\"%s\":\"%s\"".formatted(dataCentre, region(dataCentre)));
        }
        return regions.append("}").toString();
    }

    private String region(String dataCentre) {
        int index = dataCentres.indexOf(dataCentre);
        return index > 0 && index == dataCentres.size() - 1 ? "region-2" : "region-1";
    }

    /** Returns the data centre of a daemon or target. */
    String dataCentre(int number) {
        return dataCentres.get(number % dataCentres.size());
    }

    LinkShape link(String dataCentre, String otherDataCentre) {
        return region(dataCentre).equals(region(otherDataCentre)) ? link : regionLink;
    }
}
