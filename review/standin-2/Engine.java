import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine: it registers itself, writes heartbeats and answers requests. */
class Engine implements AutoCloseable {
    interface Listener {
        void onRequest(Engine engine, HttpPort.Request request);
    }

    static final long HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String service;
    final String version;
    final int slots;
    final HttpPort http;
    private final Store store;
    private final String models;
    private final long bornMillis = System.currentTimeMillis();
    private final Listener listener;
    private final long workMillis;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private volatile boolean isListed = true;

    /** Events of a stream, null for an engine that answers with a short body. */
    int events;
    long eventMillis;

    Engine(Store store, String service, String id, String version, int slots, String models,
        long workMillis, Listener listener) throws IOException {
        this.store = store;
        this.service = service;
        this.id = id;
        this.version = version;
        this.slots = slots;
        this.models = models;
        this.workMillis = workMillis;
        this.listener = listener;
        http = new HttpPort(this::handle);
        Lab.thread(this::writeHeartbeats);
    }

    private void writeHeartbeats() throws InterruptedException {
        while (true) {
            synchronized (store) {
                if (!isListed) return;
                store.put("keyed.servers", id, entry());
            }
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    private String entry() {
        return """
            {"service":"%s","address":"127.0.0.1:%d","zone":"z1","version":"%s","slots":%d,\
            "state":"ready","coldMs":0,"seq":0,"born":%d,"models":%s}"""
            .formatted(service, http.port(), version, slots, bornMillis, models);
    }

    /** Leaves without ever reporting draining: the entry is removed; returns when it was. */
    long removeEntry() {
        synchronized (store) {
            isListed = false;
            store.put("keyed.servers", id, null);
            return Lab.nowMillis();
        }
    }

    private void handle(HttpPort.Request request, HttpPort.Connection connection)
        throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String expected = request.header("expect-instance");
        if (request.header("request-id") != null) {
            headers.put("Request-Id", request.header("request-id"));
        }
        if (expected != null && !expected.equals(id)) {
            headers.put("Instance-Id", id);
            connection.answer(421, headers, new byte[0]);
            return;
        }
        if (request.path().equals("/report")) {
            headers.put("Content-Type", "application/json");
            connection.answer(200, headers, ("{\"stage\":\"both\",\"models\":" + models
                + ",\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":" + running.get()
                + ",\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}").getBytes());
            return;
        }
        if (request.path().equals("/order")) {
            connection.answer(409, headers, new byte[0]);
            return;
        }
        if (answers(request, connection)) return;
        listener.onRequest(this, request);
        running.incrementAndGet();
        try {
            Thread.sleep(workMillis);
            headers.put("Server-Stamp", id + "." + runs.incrementAndGet());
            headers.put("Server-Load", running.get() + ",0," + slots);
            if (events > 0) {
                writeEvents(request, connection, headers);
            } else {
                connection.answer(200, headers, ("answer of " + id).getBytes());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running.decrementAndGet();
        }
    }

    /** Whether a subclass has answered the request in its own way. */
    boolean answers(HttpPort.Request request, HttpPort.Connection connection)
        throws IOException {
        return false;
    }

    private void writeEvents(HttpPort.Request request, HttpPort.Connection connection,
        Map<String, String> headers) throws IOException, InterruptedException {
        headers.put("Content-Type", "text/event-stream");
        connection.beginChunks(200, headers);
        String last = request.header("last-event-id");
        int count = request.path().endsWith("/short") ? 8 : events;
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= count; event++) {
            connection.chunk("id: " + event + "\ndata: " + version + " " + id + " " + event
                + "\n\n");
            if (event < count) Thread.sleep(eventMillis);
        }
        connection.endChunks();
    }

    @Override
    public void close() throws IOException {
        http.close();
    }
}
