import java.util.ArrayList;
import java.util.List;

/**
 * Engines of two software versions serve side by side. One instance is cut off from all engines for
 * some seconds, so that its streams pass through the other instances. The path comes back, and the
 * others are stopped in turn, with streams that outlast their grace period.
 */
final class RelayVersionScript {
    private static final int EVENTS = 136;

    public static void main(String[] args) {
        Lab.run(args[0], RelayVersionScript::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("keyed.op", "config", Streams.config(64, 3_000, 220_000, "m6")
            .replace("\"maxAttempts\":2", "\"maxAttempts\":3"));
        Engine first = new Engine(lab, "i-first", "v1", "taupo", 64, 134, 100, 1_200, "m6");
        Engine second = new Engine(lab, "i-second", "v2", "taupo", 64, 134, 100, 1_200, "m6");
        // The first one becomes the leader, which is stopped last.
        Lab.Instance c = lab.new Instance("front-c", "127.0.0.13", "taupo");
        c.awaitReady();
        Lab.sleep(2_000);
        Lab.Instance a = lab.new Instance("front-a", "127.0.0.11", "taupo");
        Lab.Instance b = lab.new Instance("front-b", "127.0.0.12", "taupo");
        a.awaitReady();
        b.awaitReady();
        Lab.sleep(4_000);

        Streams streams = new Streams(lab, EVENTS, 20_000);
        List<Thread> clients = new ArrayList<>();
        clients.add(streams.start("before", List.of(a)));
        Lab.sleep(500);
        if (lab.hasTrouble) {
            lab.say("front-a is cut off from all engines");
            first.gate().cut(a.pid());
            second.gate().cut(a.pid());
        }
        // The first requests show the instance that it reaches no engine.
        Lab.sleep(200);
        for (int i = 0; i < 4; i++) clients.add(streams.start("probe-" + i, List.of(a)));
        Lab.sleep(1_300);
        for (int i = 0; i < 60; i++) clients.add(streams.start("cut-" + i, List.of(a)));
        Lab.sleep(1_500);
        if (lab.hasTrouble) {
            lab.say("front-a reaches the engines again");
            first.gate().heal();
            second.gate().heal();
        }
        Lab.sleep(1_500);
        b.signal("TERM");
        Lab.sleep(2_000);
        c.signal("TERM");
        for (Thread client : clients) client.join(40_000);
        return streams.verdict();
    }
}
