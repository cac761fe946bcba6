import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The final fault: all processes are killed right after a configuration was acknowledged, and come
 * back. The store carries out the first leadership append after that and its answer is lost.
 */
final class LostElection {
    private static final AtomicInteger APPENDS = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    private record Sample(long atMillis, Client.Answer answer) {
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record log = new Record(args[0] + "/record.txt");
        Deployment site = new Deployment(log);
        site.configure();
        site.modelEngine("i-1", "v1", List.of("m0", "m1"));
        site.modelEngine("i-2", "v1", List.of("m0", "m1"));
        site.plainServer("i-3");
        site.plainServer("i-4");
        for (int i = 1; i <= 3; i++) site.instance("front-" + i).start();
        if (!site.awaitReady(30)) {
            log.say("the instances were not ready");
            site.end(2);
        }
        Thread.sleep(3_000);
        List<Sample> samples = new ArrayList<>();
        AtomicBoolean isSending = new AtomicBoolean(true);
        Http.start("clients", () -> {
            for (int i = 0; isSending.get(); i++) {
                Instance target = site.instances.get(i % 3);
                int kind = i % 4;
                Http.start("request", () -> {
                    long at = log.millis();
                    Client.Answer answer = switch (kind) {
                        case 0 -> site.report(target, "m0");
                        case 1 -> site.batch(target, "m1");
                        case 2 -> site.book(target);
                        default -> site.look(target);
                    };
                    log.line("client: sent at " + at + " to " + target.name + ": " + answer);
                    synchronized (samples) {
                        samples.add(new Sample(at, answer));
                    }
                });
                Thread.sleep(100);
            }
        });
        Thread.sleep(8_000);
        long faultAt = log.millis();
        site.configure();
        log.say("all processes are killed");
        for (Instance instance : site.instances) instance.kill();
        AtomicBoolean isFirst = new AtomicBoolean(true);
        site.store.fate = (topic, record, isAppended) -> {
            APPENDS.incrementAndGet();
            boolean isLost = hasTrouble && isAppended && isFirst.getAndSet(false);
            if (isLost) LOST.incrementAndGet();
            log.line("store: append to " + topic + " by "
                + new String(record, StandardCharsets.UTF_8).replaceAll(",\"shareHolders.*", "")
                + " appended=" + isAppended);
            return isLost;
        };
        Thread.sleep(1_000);
        for (Instance instance : site.instances) instance.start();
        if (!site.awaitReady(30)) {
            log.say("the instances were not ready again");
            site.end(2);
        }
        long backAt = log.millis();
        log.say("all instances are ready again");
        // The store is sound from here on: only one answer was lost, and that before.
        Thread.sleep(5_000);
        int appends = APPENDS.get();
        // Requests sent later than recoverS (12 s) after the machines are back.
        Thread.sleep(35_000);
        isSending.set(false);
        Thread.sleep(2_500);
        double before = share(samples, 0, faultAt - 500);
        double after = share(samples, backAt + 12_000, Long.MAX_VALUE);
        log.say(String.format("answers lost: %d of %d appends within 5 s of the return",
            LOST.get(), appends));
        log.say(String.format("served before the fault: %.3f", before));
        log.say(String.format("served later than 12 s after the return: %.3f", after));
        if (before < 0.25) site.end(2);
        site.end(after < 0.25 ? 1 : 0);
    }

    private static double share(List<Sample> samples, long from, long to) {
        synchronized (samples) {
            List<Sample> counted = new ArrayList<>();
            for (Sample sample : samples) {
                if (sample.atMillis >= from && sample.atMillis < to) counted.add(sample);
            }
            long served = counted.stream().filter(it -> it.answer.isServed()).count();
            return counted.isEmpty() ? 0 : (double) served / counted.size();
        }
    }
}
