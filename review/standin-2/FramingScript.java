import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients that don't behave send bookings whose framing is odd. A booking may be refused; checks
 * that none runs with another body, and that nothing inside a body runs as a request of its own.
 */
final class FramingScript {
    private static final int BOOKINGS = 20;
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

    /** How a booking is framed; the body is written as it is unless the framing is chunked. */
    private enum Framing {
        SOUND(""),
        LISTED_LENGTH("Connection: keep-alive, Content-Length\r\n"),
        UNKNOWN_CODING("Transfer-Encoding: frobbed\r\n");

        final String fields;

        Framing(String fields) {
            this.fields = fields;
        }
    }

    private final Lab lab;
    private final Map<String, String> bodies = new ConcurrentHashMap<>();
    private final Map<String, Framing> framings = new ConcurrentHashMap<>();
    private final Map<String, Integer> faults = new HashMap<>();
    private int runs;

    private FramingScript(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments[0], lab -> new FramingScript(lab).isBroken());
    }

    private boolean isBroken() throws Exception {
        lab.store.put("keyed.op", "config", CONFIGURATION.replace("\n", ""));
        for (String id : List.of("e1", "e2")) {
            new Engine(lab.store, "desk", id, "v1", 6, "[]", 20, this::onRequest);
        }
        for (String name : List.of("m1", "m2")) lab.startInstance(name);
        for (Lab.Instance instance : lab.instances) instance.awaitReady();
        Thread.sleep(3_000);
        List<Thread> threads = new ArrayList<>();
        for (Framing framing : Framing.values()) {
            for (int i = 0; i < BOOKINGS; i++) {
                String id = framing.name().toLowerCase() + i;
                Lab.Instance instance = lab.instances.get(i % 2);
                threads.add(Lab.thread(() -> book(instance, id, framing)));
                Thread.sleep(50);
            }
        }
        for (Thread thread : threads) thread.join(6_000);
        Thread.sleep(1_000);
        synchronized (this) {
            lab.log(runs + " requests have run; with a fault: " + faults);
            if (runs < BOOKINGS) throw new IOException("too few requests have run");
            return !faults.isEmpty();
        }
    }

    private void book(Lab.Instance instance, String id, Framing framing) throws IOException {
        String body = "POST /book/inner HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: inner-" + id
            + "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key1\r\nContent-Length: 0\r\n\r\n";
        bodies.put(id, body);
        framings.put(id, framing);
        boolean isOdd = Lab.TROUBLE && framing != Framing.SOUND;
        String fields = isOdd ? framing.fields : "";
        if (!fields.startsWith("Transfer-Encoding")) {
            fields += "Content-Length: " + body.length() + "\r\n";
        }
        lab.log(id + " is sent to " + instance.name + " with " + body.length() + " bytes");
        try (Lab.Client client = new Lab.Client(instance.front)) {
            client.send("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key1\r\n" + fields + "\r\n"
                + body);
            lab.log(id + " at " + instance.name + " is answered "
                + client.readAnswer().status());
            // What runs of the body would be answered on the same connection.
            client.awaitEnd(1_000);
        }
    }

    private synchronized void onRequest(Engine engine, HttpPort.Request request) {
        runs++;
        String id = request.header("request-id");
        String sent = bodies.get(id);
        String body = new String(request.body(), StandardCharsets.ISO_8859_1);
        String fault = null;
        if (sent == null) {
            fault = "a request that no client sent runs";
        } else if (!sent.equals(body)) {
            fault = "a booking runs with another body, " + framings.get(id);
        }
        if (fault != null) faults.merge(fault, 1, Integer::sum);
        lab.log(engine.id + " runs " + id + " with " + body.length() + " bytes"
            + (fault == null ? "" : ": " + fault));
    }
}
