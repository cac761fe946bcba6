import java.util.ArrayList;
import java.util.List;

/**
 * The store is busy for the instance that leads, which goes on serving with what it knows; another
 * one becomes the leader. A release begins, and streams start at the new software version. Half of
 * the clients' connections to one instance are reset, and they take their streams up at the one
 * that the store turns away.
 */
final class CutOffScript {
    private static final int SLOTS = 32;
    private static final int QUEUE = 67;
    private static final int EVENT_MS = 100;
    private static final int EVENTS = 85;
    private static final int LOAD_MS = 1_200;

    public static void main(String[] args) {
        Lab.run(args[0], CutOffScript::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("keyed.op", "config", Streams.config(SLOTS, 5_000, 220_000, "m6"));
        new Engine(lab, "i-first", "v1", "taupo", SLOTS, QUEUE, EVENT_MS, LOAD_MS, "m6");
        // The first one becomes the leader.
        Lab.Instance cutOff = lab.new Instance(
            "front-c", "127.0.0.13", "hamilton", lab.store.limitedAddress());
        cutOff.awaitReady();
        Lab.sleep(2_000);
        Lab.Instance a = lab.new Instance("front-a", "127.0.0.11", "whanganui");
        Lab.Instance b = lab.new Instance("front-b", "127.0.0.12", "taupo");
        a.awaitReady();
        b.awaitReady();
        Lab.sleep(3_000);

        Streams streams = new Streams(lab, EVENTS, 20_000);
        List<Thread> clients = new ArrayList<>();
        if (lab.hasTrouble) {
            lab.store.setBusy(true);
            lab.say("the store answers " + cutOff.name + " with 503");
        }
        for (int i = 0; i < 48; i++) {
            clients.add(streams.start("early-" + i, List.of(a, cutOff)));
        }
        Lab.sleep(500);
        new Engine(lab, "i-second", "v2", "taupo", SLOTS, QUEUE, EVENT_MS, LOAD_MS);
        Lab.sleep(6_000);
        for (int i = 0; i < 40; i++) {
            clients.add(streams.start("late-" + i, List.of(a, cutOff)));
        }
        Lab.sleep(2_000);
        if (!cutOff.isReady()) throw new IllegalStateException(cutOff.name + " is not ready");
        lab.say(cutOff.name + " is ready");
        streams.resetConnections(a);
        Lab.sleep(200);
        lab.store.setBusy(false);
        if (lab.hasTrouble) lab.say("the store serves " + cutOff.name + " again");
        for (Thread client : clients) client.join(40_000);
        return streams.verdict();
    }
}
