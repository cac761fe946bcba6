import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An order to load a model gets no answer and is carried out seconds later. In between the engine
 * crashes and starts again under its id, demand moves, and the engine is ordered to load others.
 */
final class LimitScript {
    private static final int MEMORY_MB = 140_000;
    private static final int MAX_LATE_MS = 11_500;
    private static final AtomicInteger REQUESTS = new AtomicInteger();
    private static volatile boolean isAsking = true;

    public static void main(String[] args) {
        Lab.run(args[0], LimitScript::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("keyed.op", "config",
            Streams.config(ModelHost.SLOTS, 3_000, MEMORY_MB, "m1", "m2", "m3"));
        ModelHost engine = new ModelHost(lab, "i-engine", MEMORY_MB, "m1");
        Lab.Instance a = lab.new Instance("front-a", "127.0.0.11", "taupo");
        Lab.Instance b = lab.new Instance("front-b", "127.0.0.12", "taupo");
        a.awaitReady();
        b.awaitReady();
        keepAsking(lab, a, b, "m1");
        Lab.sleep(6_000);
        lab.say("the engine holds " + engine.contents());

        if (lab.hasTrouble) engine.delayLoadOf("m3");
        for (int i = 0; i < 10 && !engine.hasLateOrder(); i++) {
            int status = ask(lab, a, "m3", 2_000);
            lab.say("a request for m3 gets " + status);
            if (status == 200) break;
            Lab.sleep(100);
        }
        long lateAt = lab.now();
        keepAsking(lab, a, b, "m2");
        Lab.sleep(200);
        if (lab.hasTrouble) {
            if (!engine.hasLateOrder()) return Lab.NOT_RUN;
            engine.restart(2_000);
            while (!engine.isFull()) {
                if (lab.now() - lateAt > MAX_LATE_MS) return Lab.NOT_RUN;
                Lab.sleep(50);
            }
            lab.say("the engine holds " + engine.contents());
            engine.carryOutLateOrder();
            lab.say("it is " + (lab.now() - lateAt) + " ms late");
        } else {
            Lab.sleep(4_000);
        }
        Lab.sleep(1_000);
        isAsking = false;
        return engine.isOverfull() ? Lab.BROKEN : Lab.HELD;
    }

    private static void keepAsking(Lab lab, Lab.Instance a, Lab.Instance b, String model) {
        for (Lab.Instance instance : new Lab.Instance[] {a, b}) {
            Http.daemon(model, () -> {
                while (isAsking) {
                    ask(lab, instance, model, 4_000);
                    Lab.sleep(100);
                }
            });
        }
    }

    /** Sends one request; returns the status of its answer, 0 if it has none. */
    private static int ask(Lab lab, Lab.Instance target, String model, int deadlineMs) {
        String request = String.format("%016x", 0x11a0000 + REQUESTS.incrementAndGet());
        String body = "{\"prompt\":\"" + request + "\"}";
        try (Http.Connection connection = Http.Connection.to(target.front)) {
            connection.socket.setSoTimeout(deadlineMs);
            connection.send("POST /batch/2f HTTP/1.1\r\nHost: yard.example\r\nRequest-Id: "
                + request + "\r\nModel: " + model + "\r\nToken-Count: 700,7\r\n"
                + "Prompt-Prefix: 5c1e07a2:600," + request.substring(8) + ":100\r\n"
                + "Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer key-1\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            Http.Head head = connection.readHead();
            return head == null ? 0 : head.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
