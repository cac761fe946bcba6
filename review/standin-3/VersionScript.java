import java.util.ArrayList;
import java.util.List;

/**
 * An instance is killed while its streams run and the only engine with their model is full. Their
 * clients take the streams up at the other instances, where they wait for room. A release begins:
 * a new engine with another software version joins the service.
 */
final class VersionScript {
    private static final int SLOTS = 32;
    private static final int QUEUE = 67;
    private static final int EVENT_MS = 100;
    private static final int EVENTS = 60;
    private static final int LOAD_MS = 1_200;

    public static void main(String[] args) {
        Lab.run(args[0], VersionScript::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("keyed.op", "config", Streams.config(SLOTS, 5_000, 220_000, "m6"));
        new Engine(lab, "i-first", "v1", "taupo", SLOTS, QUEUE, EVENT_MS, LOAD_MS, "m6");
        // The first one becomes the leader, which is not the one that is killed.
        Lab.Instance b = lab.new Instance("front-b", "127.0.0.12", "taupo");
        b.awaitReady();
        Lab.sleep(2_000);
        Lab.Instance a = lab.new Instance("front-a", "127.0.0.11", "whanganui");
        Lab.Instance c = lab.new Instance("front-c", "127.0.0.13", "hamilton");
        a.awaitReady();
        c.awaitReady();
        Lab.sleep(3_000);

        Streams streams = new Streams(lab, EVENTS, 20_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 26; i++) {
            Lab.Instance next = i % 2 == 0 ? b : c;
            clients.add(streams.start("cut-" + i, List.of(a, next)));
        }
        Lab.sleep(500);
        for (int i = 0; i < 84; i++) {
            clients.add(streams.start("other-" + i, List.of(i % 2 == 0 ? b : c)));
        }
        Lab.sleep(1_500);
        if (lab.hasTrouble) a.kill();
        Lab.sleep(300);
        new Engine(lab, "i-second", "v2", "taupo", SLOTS, QUEUE, EVENT_MS, LOAD_MS);
        for (Thread client : clients) client.join(40_000);
        return streams.verdict();
    }
}
