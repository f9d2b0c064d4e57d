package org.cornelcrank.server.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

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
    private static final String ZONE = "dc-a";

    private final long seed;
    private final StoreStandIn store;
    private final ResponseLedger ledger;
    private final List<StutteringRunnerStandIn> all = new ArrayList<>();
    private final List<StutteringRunnerStandIn> registered = new ArrayList<>();

    SoakTargets(long seed, Random random, StoreStandIn store, ResponseLedger ledger) throws IOException {
        this.seed = seed;
        this.store = store;
        this.ledger = ledger;
        int stuttering = 2 + random.nextInt(3);
        for (int i = 0; i < SOUND + stuttering; i++) {
            join(i < SOUND ? Rates.SOUND : Rates.stuttering(random));
        }
    }

    void join(Rates rates) throws IOException {
        int number = all.size() + 1;
        StutteringRunnerStandIn target = new StutteringRunnerStandIn("i-" + number, 31 * seed + number, rates, ledger);
        all.add(target);
        registered.add(target);
        store.put("servers", target.id(), target.entry(SERVICE, ZONE));
    }

    /** Announces that a target leaves; it goes on responding. */
    StutteringRunnerStandIn leave(Random random) {
        StutteringRunnerStandIn target = registered.remove(random.nextInt(registered.size()));
        store.put("servers", target.id(), target.entry(SERVICE, ZONE).replace("\"ready\"", "\"draining\""));
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
