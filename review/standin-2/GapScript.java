import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine leaves, so that its entry is removed, and the store deletes old records at that moment.
 * Checks that no request reaches the engine later than drainMs (here: stableWindowMs) after that.
 */
final class GapScript {
    private static final int ENGINES = 6;
    /** stableWindowMs after the records were deleted, which is longer than drainMs. */
    private static final long BOUND_MILLIS = 3_000;
    private static final long STAYS_MILLIS = 8_000;
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/book/",
        "kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"desk",
        "maxAttempts":1,"allowAnonymous":false}],
        "services":[{"name":"desk","healthPath":"/health","maxConnections":110}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},
        "tenants":[{"name":"t1","apiKeys":["key1"],"unit":"tokens","plainTokens":200,
        "ratePerS":90000,"burst":90000}]}
        """;

    private final Lab lab;
    private final Map<String, String> machineByRequest = new ConcurrentHashMap<>();
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private volatile long removedMillis = Long.MAX_VALUE / 2;

    private GapScript(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments[0], lab -> new GapScript(lab).isBroken());
    }

    private boolean isBroken() throws Exception {
        lab.store.put("keyed.op", "config", CONFIGURATION.replace("\n", ""));
        Engine leaving = newEngine("e1");
        // Their heartbeats come evenly, not all at once.
        for (int i = 2; i <= ENGINES; i++) {
            Thread.sleep(Engine.HEARTBEAT_MILLIS / ENGINES);
            newEngine("e" + i);
        }
        for (String name : List.of("m1", "m2", "m3")) lab.startInstance(name);
        for (Lab.Instance instance : lab.instances) instance.awaitReady();
        Thread.sleep(3_000);
        for (Lab.Instance instance : lab.instances) Lab.thread(() -> sendRequests(instance));
        Thread.sleep(6_000);
        lab.log("leader " + lab.leader());
        synchronized (lab.store) {
            removedMillis = leaving.removeEntry();
            lab.log("the store has removed the entry of e1");
            if (Lab.TROUBLE) {
                int first = lab.store.deleteRecords("keyed.servers");
                lab.log("the store has deleted the records of keyed.servers before " + first);
            }
        }
        Thread.sleep(STAYS_MILLIS);
        lab.log("answers by status " + answers);
        lab.log("requests that reached e1 later than " + BOUND_MILLIS + " ms after its removal: "
            + late.get());
        if (answers.getOrDefault("200", 0) < 100) throw new IOException("too few answers");
        return late.get() > 0;
    }

    private Engine newEngine(String id) throws IOException {
        return new Engine(lab.store, "desk", id, "v1", 6, "[]", 20, this::onRequest);
    }

    private void onRequest(Engine engine, HttpPort.Request request) {
        String id = request.header("request-id");
        long afterMillis = Lab.nowMillis() - removedMillis;
        if (!engine.id.equals("e1") || afterMillis < 0) return;
        lab.log("e1 runs " + id + " sent by " + machineByRequest.get(id) + ", " + afterMillis
            + " ms after its removal");
        if (afterMillis > BOUND_MILLIS && sentMillis.get(id) > removedMillis) {
            late.incrementAndGet();
        }
    }

    private void sendRequests(Lab.Instance instance) throws Exception {
        Lab.Client client = new Lab.Client(instance.front);
        while (true) {
            String id = "g" + number.incrementAndGet();
            machineByRequest.put(id, instance.name);
            sentMillis.put(id, Lab.nowMillis());
            client.send("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key1\r\n"
                + "Content-Length: 4\r\n\r\nbody");
            Lab.Answer answer = client.readAnswer();
            answers.merge(Integer.toString(answer.status()), 1, Integer::sum);
            if ("close".equals(answer.headers().get("connection"))) {
                client.close();
                client = new Lab.Client(instance.front);
            }
            Thread.sleep(40);
        }
    }
}
