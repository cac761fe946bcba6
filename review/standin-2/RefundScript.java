import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant has two keys. One of them is withdrawn while bodies of requests with it are being sent.
 * Checks that the tenant's requests stay within its rate and burst in each window of 8 s.
 */
final class RefundScript {
    private static final double RATE = 10_000;
    private static final double BURST = 400_000;
    private static final double ALLOWED = (RATE * 8 + BURST) * 1.1 + 7_400;
    private static final long WINDOW_MILLIS = 8_000;
    private static final int TOKENS = 4_000;
    private static final int SLOW_REQUESTS = 13;
    private static final String CONFIGURATION = """
        {"version":%d,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/book/",
        "kind":"unsafe","timeoutMs":6000,"targetLatencyMs":300,"priority":2,"service":"desk",
        "maxAttempts":1,"allowAnonymous":false}],
        "services":[{"name":"desk","healthPath":"/health","maxConnections":370}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},
        "tenants":[{"name":"t1","apiKeys":[%s],"unit":"tokens","plainTokens":200,
        "ratePerS":10000,"burst":400000}]}
        """;

    private final Lab lab;
    private final AtomicInteger number = new AtomicInteger();
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final List<Long> sentMillisOfRuns = new ArrayList<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private int mostTokens;
    private volatile boolean isOver;

    private RefundScript(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments[0], lab -> new RefundScript(lab).isBroken());
    }

    private boolean isBroken() throws Exception {
        configure(1, "\"key1\",\"key2\"");
        for (String id : List.of("e1", "e2")) {
            new Engine(lab.store, "desk", id, "v1", 64, "[]", 10, this::onRequest);
        }
        for (String name : List.of("m1", "m2")) lab.startInstance(name);
        for (Lab.Instance instance : lab.instances) instance.awaitReady();
        // In this time the tenant could gain its whole burst.
        Thread.sleep((long) (BURST / RATE * 1_000) + 6_000);
        List<Lab.Client> slow = new ArrayList<>();
        for (Lab.Instance instance : lab.instances) {
            for (int i = 0; i < SLOW_REQUESTS; i++) {
                Lab.Client client = new Lab.Client(instance.front);
                client.send(head("key1") + "bo");
                slow.add(client);
            }
        }
        lab.log(slow.size() + " requests with key1 have sent half of their bodies");
        Thread.sleep(300);
        for (Lab.Instance instance : lab.instances) {
            for (int i = 0; i < 4; i++) Lab.thread(() -> sendRequests(instance));
        }
        Thread.sleep(1_500);
        if (Lab.TROUBLE) {
            configure(2, "\"key2\"");
            lab.log("key1 is withdrawn");
        }
        Thread.sleep(1_000);
        Map<Integer, Integer> slowAnswers = new HashMap<>();
        for (Lab.Client client : slow) client.send("dy");
        for (Lab.Client client : slow) {
            slowAnswers.merge(client.readAnswer().status(), 1, Integer::sum);
            client.close();
        }
        lab.log("answers to the requests with slow bodies: " + slowAnswers);
        Thread.sleep(6_000);
        isOver = true;
        synchronized (this) {
            lab.log("answers with key2 by status " + answers);
            lab.log("most tokens run within 8 s: " + mostTokens + ", allowed " + (long) ALLOWED);
            if (mostTokens < BURST) throw new IOException("too few requests have run");
            return mostTokens > ALLOWED;
        }
    }

    private void configure(int version, String keys) {
        lab.store.put("keyed.op", "config", CONFIGURATION.formatted(version, keys)
            .replace("\n", ""));
    }

    private String head(String key) {
        String id = "q" + number.incrementAndGet();
        sentMillis.put(id, Lab.nowMillis());
        return "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
            + id + "\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer " + key
            + "\r\nToken-Count: " + (TOKENS - 400) + ",400\r\nContent-Length: 4\r\n\r\n";
    }

    private synchronized void onRequest(Engine engine, HttpPort.Request request) {
        long nowMillis = Lab.nowMillis();
        if (isOver) return;
        // Counts the requests that were both sent and run in the window that ends now.
        sentMillisOfRuns.add(sentMillis.get(request.header("request-id")));
        sentMillisOfRuns.removeIf(it -> it <= nowMillis - WINDOW_MILLIS);
        int tokens = sentMillisOfRuns.size() * TOKENS;
        mostTokens = Math.max(mostTokens, tokens);
        lab.log(engine.id + " runs " + request.header("request-id") + ", " + tokens
            + " tokens in the last 8 s");
    }

    private void sendRequests(Lab.Instance instance) throws Exception {
        Lab.Client client = new Lab.Client(instance.front);
        while (!isOver) {
            client.send(head("key2") + "body");
            Lab.Answer answer = client.readAnswer();
            synchronized (this) {
                answers.merge(Integer.toString(answer.status()), 1, Integer::sum);
            }
            if ("close".equals(answer.headers().get("connection"))) {
                client.close();
                client = new Lab.Client(instance.front);
            }
            if (answer.status() != 200) Thread.sleep(100);
        }
    }
}
