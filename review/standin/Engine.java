import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for an engine: it holds the models that it was ordered to hold, runs requests that
 * name one of them, and reports on itself. Without models it is a plain service.
 */
final class Engine {
    final String id;
    final String service;
    final String version;
    final Http.Server server;
    final Map<String, Set<String>> models = new TreeMap<>();
    final AtomicInteger running = new AtomicInteger();
    final int slots;
    volatile int events = 4;
    volatile int eventMillis = 20;
    volatile long loadMillis = 1_000;
    /** Answers a request at a plain service. */
    interface PlainAnswer {
        String answer(Http.Head head, byte[] body);
    }

    volatile PlainAnswer plainAnswer;
    volatile boolean isBusy;
    volatile String loading;
    volatile long seq;
    private long highestFence;
    private final long born = System.currentTimeMillis();
    private final Record log;
    private final Store store;
    private final boolean isModelEngine;

    Engine(String id, String service, String version, int slots, List<String> held,
            boolean isModelEngine, Store store, Record log) throws IOException {
        this.id = id;
        this.service = service;
        this.version = version;
        this.slots = slots;
        this.store = store;
        this.log = log;
        this.isModelEngine = isModelEngine;
        for (String model : held) models.put(model, new TreeSet<>());
        server = new Http.Server(this::handle);
        beat();
    }

    private synchronized String modelsJson() {
        List<String> items = new ArrayList<>();
        models.forEach((name, adapters) -> {
            List<String> names = new ArrayList<>();
            adapters.forEach(adapter -> names.add("\"" + adapter + "\""));
            items.add("{\"name\":\"" + name + "\",\"version\":1,\"adapters\":["
                + String.join(",", names) + "]}");
        });
        return "[" + String.join(",", items) + "]";
    }

    /** Writes the entry of this engine to the store. */
    void beat() {
        String held = isModelEngine ? ",\"stage\":\"both\",\"models\":" + modelsJson() : "";
        store.put("keyed.servers", id, "{\"service\":\"" + service
            + "\",\"address\":\"127.0.0.1:" + server.port + "\",\"zone\":\"z1\",\"version\":\""
            + version + "\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldMs\":0,\"seq\":"
            + seq + ",\"born\":" + born + held + "}");
    }

    private boolean handle(
            Socket socket, InputStream in, OutputStream out, Http.Head head, byte[] body)
            throws Exception {
        String expected = head.get("expect-instance");
        String echo = head.get("request-id") == null
            ? "" : "Request-Id: " + head.get("request-id") + "\r\n";
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, "421 Misdirected Request", echo + "Instance-Id: " + id + "\r\n",
                new byte[0]);
            return true;
        }
        String path = head.target().split("\\?")[0];
        if (path.equals("/report")) {
            Http.respondJson(out, "200 OK", "", "{\"stage\":\"both\",\"models\":" + modelsJson()
                + ",\"busy\":" + isBusy + ",\"seq\":" + seq + ",\"waiting\":0,\"running\":"
                + running.get() + ",\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"born\":"
                + born + "}");
            return true;
        }
        if (path.equals("/order")) {
            order(out, new String(body, java.nio.charset.StandardCharsets.UTF_8));
            return true;
        }
        if (path.equals("/health")) {
            Http.respond(out, "200 OK", "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        return run(socket, out, head, body, echo);
    }

    private static String field(String json, String name) {
        java.util.regex.Matcher matcher = java.util.regex.Pattern
            .compile("\"" + name + "\":(\"([^\"]*)\"|([0-9-]+))").matcher(json);
        if (!matcher.find()) return null;
        return matcher.group(2) != null ? matcher.group(2) : matcher.group(3);
    }

    private void order(OutputStream out, String json) throws IOException {
        String status;
        String model = field(json, "model");
        String adapter = field(json, "adapter");
        boolean isLoad = "load".equals(field(json, "op"));
        synchronized (this) {
            long fence = Long.parseLong(field(json, "fence"));
            String expectedSeq = field(json, "precondition");
            if (fence < highestFence) {
                status = "412 Precondition Failed";
            } else if (expectedSeq != null && Long.parseLong(expectedSeq) != seq || isBusy) {
                status = "409 Conflict";
            } else if (isLoad && adapter == null && models.containsKey(model)) {
                status = "200 OK";
            } else {
                seq++;
                status = adapter != null && !isLoad ? "200 OK" : "202 Accepted";
                if (adapter == null) {
                    isBusy = true;
                    loading = isLoad ? model : null;
                    Http.start("order", () -> {
                        Thread.sleep(isLoad ? loadMillis : 200);
                        synchronized (this) {
                            if (isLoad) models.put(model, new TreeSet<>());
                            else models.remove(model);
                            isBusy = false;
                            loading = null;
                        }
                        beat();
                    });
                } else if (isLoad && models.containsKey(model)) {
                    models.get(model).add(adapter);
                } else if (models.containsKey(model)) {
                    models.get(model).remove(adapter);
                }
            }
            highestFence = Math.max(highestFence, fence);
        }
        log.line("engine " + id + ": order " + json + " -> " + status);
        Http.respondJson(out, status, "", "{}");
    }

    private boolean run(Socket socket, OutputStream out, Http.Head head, byte[] body,
            String echo) throws Exception {
        String wanted = head.get("model");
        if (isModelEngine && wanted != null) {
            String[] parts = wanted.split("/");
            synchronized (this) {
                Set<String> adapters = models.get(parts[0]);
                if (adapters == null || parts.length > 1 && !adapters.contains(parts[1])) {
                    Http.respond(out, "421 Misdirected Request", echo, new byte[0]);
                    return true;
                }
            }
        }
        running.incrementAndGet();
        String stamp = echo + "Server-Stamp: " + id + "." + seq + "\r\nServer-Load: "
            + running.get() + ",0," + slots + "\r\n";
        log.line("engine " + id + ": runs " + head.get("request-id") + " for "
            + head.get("tenant"));
        try {
            if (!isModelEngine) {
                Thread.sleep(40);
                String answer = plainAnswer == null
                    ? "done by " + id : plainAnswer.answer(head, body);
                Http.respond(out, "200 OK", stamp, answer.getBytes());
                return true;
            }
            return stream(socket, out, head, stamp);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Writes a stream, on from the event that the request names. */
    boolean stream(Socket socket, OutputStream out, Http.Head head, String stamp)
            throws Exception {
        Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + stamp
            + "Transfer-Encoding: chunked\r\n\r\n");
        String last = head.get("last-event-id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        for (int number = first; number <= events; number++) {
            String event = "id: " + number + "\ndata: " + version + " " + number + "\n\n";
            Http.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(eventMillis);
        }
        Http.write(out, "0\r\n\r\n");
        return true;
    }
}
