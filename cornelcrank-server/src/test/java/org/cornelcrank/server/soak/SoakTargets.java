package org.cornelcrank.server.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import org.cornelcrank.platform.fake.LinkShape;
import org.cornelcrank.platform.fake.ResponseLedger;
import org.cornelcrank.platform.fake.ResponsePlan.Rates;
import org.cornelcrank.platform.fake.StoreStandIn;
import org.cornelcrank.platform.fake.StutteringRunnerStandIn;

/**
 * The targets of a soak: some write responses twice, the others are sound.
 *
 * <p>Not thread-safe.
 */
final class SoakTargets implements AutoCloseable {

    private static final int SOUND = 2;
    private static final String SERVICE = "svc";

    private final long seed;
    private final StoreStandIn store;
    private final ResponseLedger ledger;
    private final List<StutteringRunnerStandIn> all = new ArrayList<>();
    private final List<StutteringRunnerStandIn> registered = new ArrayList<>();
    private final Map<String, String> dataCentres = new ConcurrentHashMap<>();
    private final SoakShape shape;
    private final int initial;

    SoakTargets(SoakShape shape, long seed, Random random, StoreStandIn store, ResponseLedger ledger)
            throws IOException {
        this.shape = shape;
        this.seed = seed;
        this.store = store;
        this.ledger = ledger;
        initial = shape.targets().orElseGet(() -> SOUND + 2 + random.nextInt(3));
        int sound = shape.targets().orElse(SOUND);
        for (int i = 0; i < initial; i++) {
            join(i < sound ? shape.soundTargets() : Rates.stuttering(random));
        }
    }

    /** Returns the shape of the links from a data centre to a target. */
    LinkShape link(String dataCentre, String targetAddress) {
        return shape.link(dataCentre, dataCentres.getOrDefault(targetAddress, dataCentre));
    }

    /** Registers a target; as many as there were at first have the same version. */
    void join(Rates rates) throws IOException {
        int number = all.size() + 1;
        StutteringRunnerStandIn target =
                new StutteringRunnerStandIn("i-" + number, version(number), 31 * seed + number, rates, ledger);
        all.add(target);
        registered.add(target);
        dataCentres.put(target.address(), shape.dataCentre(number));
        store.put("servers", target.id(), entry(target));
    }

    private String version(int number) {
        return "v" + (1 + (number - 1) / initial);
    }

    private String entry(StutteringRunnerStandIn target) {
        return target.entry(SERVICE, dataCentres.get(target.address()));
    }

    /** Registers as many sound targets of the next version as there were targets at first; returns the version. */
    String joinNewVersion() throws IOException {
        for (int i = 0; i < initial; i++) {
            join(shape.soundTargets());
        }
        return version(all.size());
    }

    /** Announces that a target leaves; it goes on responding. */
    StutteringRunnerStandIn leave(Random random) {
        return leave(random.nextInt(registered.size()));
    }

    /** Announces that the target leaves that has been registered longest; it goes on responding. */
    StutteringRunnerStandIn leaveFirst() {
        return leave(0);
    }

    private StutteringRunnerStandIn leave(int index) {
        StutteringRunnerStandIn target = registered.remove(index);
        store.put("servers", target.id(), entry(target).replace("\"ready\"", "\"draining\""));
        return target;
    }

    /** Removes a target that has announced that it leaves. */
    void remove(StutteringRunnerStandIn target) {
        store.put("servers", target.id(), "");
    }

    @Override
    public void close() {
        all.forEach(StutteringRunnerStandIn::close);
    }
}
