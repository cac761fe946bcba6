import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * A stand-in for a model engine with little memory, which may start again under its id and address.
 * It can leave the next load unanswered and carry it out seconds later, if what the order expects
 * holds then. It crashes when it is ordered to load more than its memory holds.
 */
final class ModelHost implements AutoCloseable {
    private static final int MODEL_MB = 65_100;
    static final int SLOTS = 12;
    private static final int DISK_LOAD_MS = 800;

    private final Lab lab;
    private final String id;
    private final int memoryMb;
    private final Http.Server server;
    private final TreeSet<String> models = new TreeSet<>();
    private final TreeSet<String> onDisk = new TreeSet<>();
    private long born = System.currentTimeMillis();
    private int orders;
    private int running;
    private long highestFence = Long.MIN_VALUE;
    private boolean isBusy;
    private boolean isDown;
    private boolean isOverfull;
    private String lateModel;
    private String lateOrder;

    ModelHost(Lab lab, String id, int memoryMb, String... held) throws IOException {
        this.lab = lab;
        this.id = id;
        this.memoryMb = memoryMb;
        models.addAll(List.of(held));
        onDisk.addAll(models);
        server = new Http.Server("127.0.0.1", this::handle);
        Http.daemon(id, () -> {
            while (true) {
                publish();
                Lab.sleep(1_000);
            }
        });
    }

    /** Leaves the next load of {@code model} unanswered. */
    synchronized void delayLoadOf(String model) {
        lateModel = model;
    }

    /** Whether a load has been left unanswered. */
    synchronized boolean hasLateOrder() {
        return lateOrder != null;
    }

    /** Crashes and starts again under its id after {@code downMs}. */
    void restart(int downMs) {
        synchronized (this) {
            isDown = true;
            lab.store.put("keyed.servers", id, null);
            server.resetAll();
        }
        lab.say(id + " has crashed");
        Lab.sleep(downMs);
        synchronized (this) {
            models.clear();
            orders = 0;
            highestFence = Long.MIN_VALUE;
            isBusy = false;
            born = System.currentTimeMillis();
            isDown = false;
        }
        publish();
        lab.say(id + " has started again, empty");
    }

    /** Carries out the order that was left unanswered, as if it came now. */
    void carryOutLateOrder() {
        lab.say("the unanswered order arrives at " + id);
        order(lateOrder);
    }

    /** Whether its memory has no room for another model, and no order is in progress. */
    synchronized boolean isFull() {
        return models.size() == memoryMb / MODEL_MB && !isBusy;
    }

    /** What it holds, for the record. */
    synchronized String contents() {
        return models + ", " + orders + " orders accepted";
    }

    /** Whether it has accepted an order to load more than its memory holds. */
    synchronized boolean isOverfull() {
        return isOverfull;
    }

    private synchronized void publish() {
        if (isDown) return;
        lab.store.put("keyed.servers", id, "{\"service\":\"assistant\",\"address\":\""
            + server.address() + "\",\"zone\":\"taupo\",\"version\":\"v1\",\"slots\":" + SLOTS
            + ",\"state\":\"ready\",\"coldMs\":0,\"models\":" + modelList() + ",\"seq\":" + orders
            + ",\"born\":" + born + ",\"atHand\":" + atHand() + "}");
    }

    private String modelList() {
        List<String> items = new ArrayList<>();
        for (String model : models) {
            items.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
        }
        return "[" + String.join(",", items) + "]";
    }

    private String atHand() {
        return "{\"inMemory\":[],\"onDisk\":[\"" + String.join("\",\"", onDisk) + "\"]}";
    }

    private boolean handle(Http.Connection connection, Http.Head head) throws Exception {
        byte[] body = connection.readBody(head);
        String ids = "Request-Id: " + head.get("Request-Id", "") + "\r\nInstance-Id: " + id
            + "\r\n";
        if (!id.equals(head.get("Expect-Instance", id))) {
            connection.send(Http.response(421, ids, new byte[0]));
            return true;
        }
        if (isDown) return false;
        switch (head.target()) {
            case "/report" -> connection.send(report());
            case "/order" -> {
                String text = new String(body, StandardCharsets.UTF_8);
                synchronized (this) {
                    if (lateModel != null && text.contains("\"load\"")
                            && lateModel.equals(field(text, "model"))) {
                        lateModel = null;
                        lateOrder = text;
                        lab.say(id + " leaves unanswered " + text);
                        return false;
                    }
                }
                int status = order(text);
                connection.send(Http.response(status, "Content-Type: application/json\r\n",
                    "{}".getBytes()));
            }
            default -> {
                return run(connection, head, ids);
            }
        }
        return true;
    }

    private synchronized String report() {
        String text = "{\"stage\":\"both\",\"models\":" + modelList() + ",\"busy\":" + isBusy
            + ",\"seq\":" + orders + ",\"waiting\":0,\"running\":" + running
            + ",\"kvUsed\":0,\"kvTotal\":125650,\"handles\":0,\"atHand\":" + atHand()
            + ",\"born\":" + born + "}";
        return Http.response(200, "Content-Type: application/json\r\n", text.getBytes());
    }

    private synchronized int order(String body) {
        long fence = Long.parseLong(field(body, "fence"));
        String model = field(body, "model");
        boolean isLoad = body.contains("\"op\":\"load\"");
        int status = 202;
        if (fence < highestFence) {
            status = 412;
        } else if (isBusy || Integer.parseInt(field(body, "precondition")) != orders) {
            status = 409;
        } else if (isLoad == models.contains(model)) {
            status = 200;
        }
        highestFence = Math.max(highestFence, fence);
        lab.say(id + " is ordered " + body + " -> " + status + "; it holds " + contents());
        if (status != 202) return status;
        orders++;
        if (isLoad && (models.size() + 1) * MODEL_MB > memoryMb) {
            isOverfull = true;
            lab.say(id + " is ordered to load more than it holds, and crashes");
            return status;
        }
        isBusy = true;
        int loadMs = onDisk.contains(model) ? DISK_LOAD_MS : 1_200;
        Http.daemon("order", () -> finish(model, isLoad, isLoad ? loadMs : 100, born));
        return status;
    }

    private void finish(String model, boolean isLoad, int takesMs, long ofRun) {
        Lab.sleep(takesMs);
        synchronized (this) {
            if (born != ofRun || isDown) return;
            isBusy = false;
            if (isLoad) models.add(model); else models.remove(model);
            if (isLoad) onDisk.add(model);
        }
        publish();
    }

    private static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":");
        if (at < 0) return null;
        return json.substring(at + name.length() + 3).split("[,}]")[0].replace("\"", "");
    }

    private boolean run(Http.Connection connection, Http.Head head, String ids) throws Exception {
        synchronized (this) {
            if (!models.contains(head.get("Model"))) {
                connection.send(Http.response(421, ids, new byte[0]));
                return true;
            }
            running++;
        }
        Lab.sleep(100);
        String event = "id: 1\ndata: done\n\n";
        int now;
        synchronized (this) {
            now = --running;
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ids
            + "Server-Stamp: stamp-" + id + "\r\nServer-Load: " + now + ",0," + SLOTS
            + "\r\nContent-Length: " + event.length() + "\r\n\r\n" + event);
        return true;
    }

    @Override
    public void close() {
        server.close();
    }
}
