import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * A stand-in for a model engine with one software version. It runs {@code slots} requests at a
 * time, lets a few wait, loads the models that it is ordered to load, and streams one event every
 * {@code eventMs}. It says of itself in the store what its entry says, every second.
 */
final class Engine implements AutoCloseable {
    final String id;
    final String version;
    private final Lab lab;
    private final String service;
    private final String zone;
    private final int slots;
    private final int queue;
    private final int eventMs;
    private final int loadMs;
    private final TreeSet<String> models = new TreeSet<>();
    private final Http.Server server;
    private int running;
    private int waiting;
    private int orders;
    private long highestFence = Long.MIN_VALUE;
    private boolean isBusy;
    private volatile boolean isClosed;

    Engine(Lab lab, String id, String version, String zone, int slots, int queue, int eventMs,
            int loadMs, String... held) throws IOException {
        this.lab = lab;
        this.id = id;
        this.version = version;
        this.service = "assistant";
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        this.eventMs = eventMs;
        this.loadMs = loadMs;
        models.addAll(List.of(held));
        server = new Http.Server("127.0.0.1", this::handle);
        Http.daemon(id, this::beat);
        lab.say(id + " (" + version + ") started, holds " + models);
    }

    private void beat() {
        while (!isClosed) {
            publish();
            Lab.sleep(1_000);
        }
    }

    private synchronized void publish() {
        lab.store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\""
            + server.address() + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
            + "\",\"slots\":" + slots + ",\"state\":\"ready\",\"coldMs\":0,\"models\":"
            + modelList() + ",\"seq\":" + orders + "}");
    }

    private String modelList() {
        List<String> items = new ArrayList<>();
        for (String model : models) {
            items.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
        }
        return "[" + String.join(",", items) + "]";
    }

    private boolean handle(Http.Connection connection, Http.Head head) throws Exception {
        byte[] body = connection.readBody(head);
        String expected = head.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.send(Http.response(421, idFields(head), new byte[0]));
            return true;
        }
        switch (head.target()) {
            case "/report" -> connection.send(report());
            case "/order" -> connection.send(order(new String(body, StandardCharsets.UTF_8)));
            case "/health" -> connection.send(
                Http.response(200, "Instance-Id: " + id + "\r\n", new byte[0]));
            default -> {
                return stream(connection, head);
            }
        }
        return true;
    }

    private String idFields(Http.Head head) {
        return "Request-Id: " + head.get("Request-Id", "") + "\r\nInstance-Id: " + id + "\r\n";
    }

    private synchronized String report() {
        String text = "{\"stage\":\"both\",\"models\":" + modelList() + ",\"busy\":" + isBusy
            + ",\"seq\":" + orders + ",\"waiting\":" + waiting + ",\"running\":" + running
            + ",\"kvUsed\":0,\"kvTotal\":125650,\"handles\":0}";
        return Http.response(200, "Content-Type: application/json\r\n", text.getBytes());
    }

    private synchronized String order(String body) {
        long fence = Long.parseLong(field(body, "fence"));
        String precondition = field(body, "precondition");
        String model = field(body, "model");
        int status = 202;
        if (fence < highestFence) {
            status = 412;
        } else if (isBusy || precondition != null && Integer.parseInt(precondition) != orders) {
            status = 409;
        } else if (body.contains("\"load\"") && models.contains(model)) {
            status = 200;
        }
        highestFence = Math.max(highestFence, fence);
        if (status == 202) {
            orders++;
            isBusy = true;
            boolean isLoad = body.contains("\"op\":\"load\"");
            Http.daemon("order", () -> finish(model, isLoad));
        }
        lab.say(id + " is ordered " + body + " -> " + status);
        return Http.response(status, "Content-Type: application/json\r\n", "{}".getBytes());
    }

    private void finish(String model, boolean isLoad) {
        Lab.sleep(isLoad ? loadMs : 100);
        synchronized (this) {
            isBusy = false;
            if (isLoad) models.add(model); else models.remove(model);
        }
        lab.say(id + " holds " + models);
        publish();
    }

    private static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":");
        if (at < 0) return null;
        String rest = json.substring(at + name.length() + 3);
        return rest.split("[,}]")[0].replace("\"", "");
    }

    private boolean stream(Http.Connection connection, Http.Head head) throws Exception {
        String request = head.get("Request-Id");
        String model = head.get("Model");
        int from = Integer.parseInt(head.get("Last-Event-Id", "0"));
        synchronized (this) {
            if (!models.contains(model)) {
                connection.send(Http.response(421, idFields(head), new byte[0]));
                return true;
            }
            if (waiting >= queue) {
                connection.send(
                    Http.response(503, "Not-Run: 1\r\n" + idFields(head) + load(), new byte[0]));
                return true;
            }
            waiting++;
            while (running >= slots) wait();
            waiting--;
            running++;
        }
        try {
            lab.say(id + " (" + version + ") runs " + request + " after event " + from);
            connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
                + request + "\r\nServer-Stamp: stamp-" + id + "\r\nWeight-Versions: 1\r\n" + load()
                + "Transfer-Encoding: chunked\r\n\r\n");
            int events = Integer.parseInt(head.get("Token-Count").split(",")[1].trim()) / 7;
            for (int event = from + 1; event <= events; event++) {
                Lab.sleep(eventMs);
                String text = "id: " + event + "\ndata: " + version + " " + id + "\n\n";
                connection.send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            connection.send("0\r\n\r\n");
            return true;
        } finally {
            synchronized (this) {
                running--;
                notifyAll();
            }
        }
    }

    private synchronized String load() {
        return "Server-Load: " + running + "," + waiting + "," + slots + "\r\n";
    }

    @Override
    public void close() {
        isClosed = true;
        server.close();
    }
}
