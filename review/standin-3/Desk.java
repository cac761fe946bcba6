import java.io.IOException;

/**
 * A stand-in for an engine of a plain service: takes {@code workMs} for each request and says in
 * the store every second what its entry says. When it leaves without a word in its entry, the entry
 * is removed, and all its answers say so.
 */
final class Desk implements AutoCloseable {
    final String id;
    private final Lab lab;
    private final String service;
    private final int slots;
    private final int workMs;
    private final Http.Server server;
    private int running;
    private volatile boolean isListed = true;
    private volatile long removedAt = Long.MAX_VALUE;
    private volatile long lastArrival = -1;
    private volatile int arrivalsSinceRemoval;

    Desk(Lab lab, String id, String service, int slots, int workMs) throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.workMs = workMs;
        server = new Http.Server("127.0.0.1", this::handle);
        Http.daemon(id, () -> {
            while (isListed) {
                beat();
                Lab.sleep(1_000);
            }
        });
        lab.say(id + " started");
    }

    /** Writes the entry of the engine, as it does every second. */
    synchronized void beat() {
        if (!isListed) return;
        lab.store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\""
            + server.address() + "\",\"zone\":\"taupo\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"coldMs\":0,\"seq\":0}");
    }

    /** Leaves without a word: its entry is removed, and the engine serves on. */
    synchronized void leave() {
        isListed = false;
        lab.store.put("keyed.servers", id, null);
        removedAt = lab.now();
        lab.say("the store has accepted that " + id + " leaves");
    }

    /** When the store had accepted that the engine leaves. */
    long removedAt() {
        return removedAt;
    }

    /** When the last request arrived, -1 if none has. */
    long lastArrival() {
        return lastArrival;
    }

    private boolean handle(Http.Connection connection, Http.Head head) throws Exception {
        connection.readBody(head);
        String expected = head.get("Expect-Instance");
        String ids = "Request-Id: " + head.get("Request-Id", "") + "\r\nInstance-Id: " + id
            + "\r\n";
        if (expected != null && !expected.equals(id)) {
            connection.send(Http.response(421, ids, new byte[0]));
            return true;
        }
        boolean isLeaving = !isListed;
        lastArrival = lab.now();
        lab.say(id + " runs " + head.get("Request-Id")
            + (isLeaving ? ", " + (lastArrival - removedAt) + " ms after its removal" : ""));
        synchronized (this) {
            running++;
        }
        Lab.sleep(workMs);
        synchronized (this) {
            running--;
        }
        connection.send(Http.response(200, ids + "Server-Stamp: stamp-" + id + "\r\n"
            + "Server-Load: " + running + ",0," + slots + "\r\n"
            + (isLeaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : ""),
            "booked".getBytes()));
        return !isLeaving;
    }

    @Override
    public void close() {
        isListed = false;
        server.close();
        lab.say(id + " has exited");
    }
}
