import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The operator removes a model from the configuration while an engine loads it; then the demand
 * moves to models that no engine holds. The check is Starved: of the models that are asked for four
 * times or more, over 8 s, no more than 1 + 10 in 100 are never served.
 */
final class RemovedModel {
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
        site.models = new ArrayList<>(all);
        site.models.add("m11");
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
        log.say("one client asks for m11");
        Http.start("m11", () ->
            log.line("client: m11: " + site.report(site.instances.get(0), "m11")));
        long until = log.millis() + 15_000;
        while (log.millis() < until
                && !"m11".equals(first.loading) && !"m11".equals(second.loading)) {
            Thread.sleep(20);
        }
        if (log.millis() >= until) {
            log.say("no engine was ordered to load m11");
            site.end(2);
        }
        Thread.sleep(300);
        if (hasTrouble) site.models = all;
        site.configure();
        log.say("a new configuration is acknowledged, "
            + (hasTrouble ? "without m11, which an engine is loading" : "with all models"));
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
                if (line.contains("NoSuchElementException")) errors++;
            }
            log.say("NoSuchElementExceptions in the output of " + instance.name + ": " + errors);
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
