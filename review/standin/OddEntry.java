import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Another writer leaves one odd entry among those of the engines: its address is a URL instead of
 * IP:PORT, so it names no engine. A later configuration adds a route, on which clients ask for models
 * that the entry names and no engine holds yet. The check is CONFIG: in steady state machines in
 * touch serve requests on routes that were added later, if they get 20 or more, at least a quarter as
 * often as those on the first routes.
 */
final class OddEntry {
    private static final class Asked {
        int requests;
        int served;
    }

    private static final Map<String, Asked> ASKED = new LinkedHashMap<>();
    private static final List<String> BUSY = List.of("m0", "m1", "m2", "m3", "m4", "m5");
    private static final List<String> NEXT = List.of("m6", "m7", "m8", "m9", "m10");

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record log = new Record(args[0] + "/record.txt");
        Deployment site = new Deployment(log);
        List<String> all = new ArrayList<>(BUSY);
        all.addAll(NEXT);
        site.models = all;
        site.configure();
        Engine one = site.modelEngine("i-1", "v1", List.of("m0", "m2", "m4"));
        Engine two = site.modelEngine("i-2", "v1", List.of("m1", "m3", "m5"));
        one.loadMillis = 3_000;
        two.loadMillis = 3_000;
        site.plainServer("i-3");
        for (int i = 1; i <= 3; i++) site.instance("front-" + i).start();
        if (!site.awaitReady(30)) {
            log.say("the instances were not ready");
            site.end(2);
        }
        Thread.sleep(4_000);
        AtomicBoolean isShifted = new AtomicBoolean();
        AtomicBoolean isSending = new AtomicBoolean(true);
        Http.start("clients", () -> {
            for (int i = 0; isSending.get(); i++) {
                Instance target = site.instances.get(i % 3);
                // The first routes get requests for the plain service all the while.
                String model = i % 2 == 0 ? "desk"
                    : isShifted.get() ? NEXT.get(i / 2 % NEXT.size())
                        : BUSY.get(i / 2 % BUSY.size());
                Http.start("request", () -> ask(site, target, model, log));
                Thread.sleep(200);
            }
        });
        Thread.sleep(5_000);
        if (hasTrouble) {
            List<String> named = new ArrayList<>();
            for (String model : all) {
                named.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
            }
            String entry = "{\"service\":\"scribe\",\"address\":"
                + "\"http://127.0.0.1:8080\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,"
                + "\"state\":\"ready\",\"coldMs\":0,\"stage\":\"both\",\"models\":["
                + String.join(",", named) + "],\"born\":1,\"seq\":";
            Http.start("writer", () -> {
                for (int seq = 0; ; seq++) {
                    site.store.put("keyed.servers", "i-odd", entry + seq + "}");
                    Thread.sleep(1_200);
                }
            });
            log.say("another writer leaves an entry with the address http://127.0.0.1:8080");
        }
        site.moreRoutes = Deployment.streamRoute("added", 12_000, 300, 200, false);
        site.configure();
        log.say("a configuration with one more route is acknowledged");
        // Past stableWindowMs and configApplyMs: a steady state, with machines in touch.
        Thread.sleep(5_000);
        isShifted.set(true);
        log.say("clients ask for " + NEXT + " on the new route, beside the others");
        Thread.sleep(30_000);
        isSending.set(false);
        Thread.sleep(3_000);
        Asked first = ASKED.get("first routes");
        Asked added = ASKED.get("added route");
        double firstShare = (double) first.served / first.requests;
        double addedShare = (double) added.served / added.requests;
        for (Instance instance : site.instances) {
            int errors = 0;
            for (String line : instance.log()) {
                if (line.contains("IllegalArgumentException")) errors++;
            }
            log.say("IllegalArgumentExceptions in the output of " + instance.name + ": " + errors);
        }
        log.say(String.format("served on the added route: %d of %d; on the first routes: %d of %d",
            added.served, added.requests, first.served, first.requests));
        site.end(added.requests >= 20 && addedShare < firstShare / 4 ? 1 : 0);
    }

    private static void ask(Deployment site, Instance target, String model, Record log) {
        boolean isAdded = NEXT.contains(model);
        long at = log.millis();
        Client.Answer answer = model.equals("desk") ? site.look(target)
            : Client.send(target.front, "POST", isAdded ? "/added/1" : "/report/1",
                Deployment.headers(model), "prompt".getBytes(), 12_000, 2_000);
        log.line("client: sent at " + at + " to " + target.name + " for " + model + ": " + answer);
        synchronized (ASKED) {
            Asked asked = ASKED.computeIfAbsent(isAdded ? "added route" : "first routes",
                name -> new Asked());
            asked.requests++;
            if (answer.isServed()) asked.served++;
        }
    }
}
