import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Another writer leaves one odd entry among those of the engines: its address is a URL instead of
 * IP:PORT, so it names no engine. Then the demand moves to models that the entry names and no
 * engine holds. The check is Starved: of the models that are asked for four times or more, over
 * 8 s, no more than 1 + 10 in 100 are never served.
 */
final class OddEntry {
    private static final class Asked {
        int requests;
        int served;
        long firstMillis = Long.MAX_VALUE;
        long lastMillis;
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
        Engine first = site.modelEngine("i-1", "v1", List.of("m0", "m2", "m4"));
        Engine second = site.modelEngine("i-2", "v1", List.of("m1", "m3", "m5"));
        first.loadMillis = 3_000;
        second.loadMillis = 3_000;
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
                List<String> models = isShifted.get() ? NEXT : BUSY;
                String model = models.get(i % models.size());
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
            site.store.put("keyed.servers", "i-odd", "{\"service\":\"scribe\",\"address\":"
                + "\"http://127.0.0.1:8080\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,"
                + "\"state\":\"ready\",\"coldMs\":0,\"stage\":\"both\",\"models\":["
                + String.join(",", named) + "],\"seq\":0,\"born\":1}");
            log.say("another writer leaves an entry with the address http://127.0.0.1:8080");
        }
        Thread.sleep(2_000);
        isShifted.set(true);
        log.say("the demand moves to " + NEXT);
        Thread.sleep(45_000);
        isSending.set(false);
        Thread.sleep(3_000);
        int counted = 0;
        int neverServed = 0;
        synchronized (ASKED) {
            for (Map.Entry<String, Asked> entry : ASKED.entrySet()) {
                Asked asked = entry.getValue();
                log.say("model " + entry.getKey() + ": asked " + asked.requests + " times over "
                    + (asked.lastMillis - asked.firstMillis) + " ms, served " + asked.served);
                if (asked.requests < 4 || asked.lastMillis - asked.firstMillis < 8_000) {
                    continue;
                }
                counted++;
                if (asked.served == 0) neverServed++;
            }
        }
        for (Instance instance : site.instances) {
            int errors = 0;
            for (String line : instance.log()) {
                if (line.contains("IllegalArgumentException")) errors++;
            }
            log.say("IllegalArgumentExceptions in the output of " + instance.name + ": " + errors);
        }
        double allowed = 1 + counted / 10.0;
        log.say(neverServed + " of " + counted + " models never served, allowed " + allowed);
        site.end(neverServed > allowed ? 1 : 0);
    }

    private static void ask(Deployment site, Instance target, String model, Record log) {
        long at = log.millis();
        Client.Answer answer = site.report(target, model);
        log.line("client: sent at " + at + " to " + target.name + " for " + model + ": " + answer);
        synchronized (ASKED) {
            Asked asked = ASKED.computeIfAbsent(model, name -> new Asked());
            asked.requests++;
            if (answer.isServed()) asked.served++;
            asked.firstMillis = Math.min(asked.firstMillis, at);
            asked.lastMillis = Math.max(asked.lastMillis, at);
        }
    }
}
