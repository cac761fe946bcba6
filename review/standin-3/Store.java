import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for the platform's store: topics with one partition, kept in memory. */
final class Store implements AutoCloseable {
    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        int first;
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Http.Server server;
    private final Http.Server limited;
    private volatile boolean isBusy;

    Store() throws IOException {
        server = new Http.Server("127.0.0.1", this::handle);
        limited = new Http.Server("127.0.0.1", this::handleLimited);
    }

    /** The address at which the store can turn one instance away. */
    String limitedAddress() {
        return limited.address();
    }

    /** Answers all calls at the limited address with 503 from now on, or serves them again. */
    void setBusy(boolean busy) {
        isBusy = busy;
    }

    private boolean handleLimited(Http.Connection connection, Http.Head head) throws Exception {
        byte[] body = connection.readBody(head);
        byte[] answer = isBusy ? json(503, "{}") : answer(head, body);
        // A read that was waiting has done nothing; an append has, so its answer stays.
        if (isBusy && head.method().equals("GET")) answer = json(503, "{}");
        connection.out.write(answer);
        connection.out.flush();
        return true;
    }

    String address() {
        return server.address();
    }

    /** Writes a record of a keyed topic, as an operator or an engine does; null drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
        record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
        topicOf(topic).records.add(record.array());
        notifyAll();
    }

    private Topic topicOf(String name) {
        return topics.computeIfAbsent(name, x -> new Topic());
    }

    private boolean handle(Http.Connection connection, Http.Head head) throws Exception {
        connection.out.write(answer(head, connection.readBody(head)));
        connection.out.flush();
        return true;
    }

    private byte[] answer(Http.Head head, byte[] body) throws Exception {
        String[] target = head.target().split("\\?", 2);
        Map<String, String> query = parse(target.length > 1 ? target[1] : "");
        return switch (target[0]) {
            case "/log-append" -> append(query, body);
            case "/log-read" -> read(query);
            case "/log-newest" -> newest(query);
            default -> json(404, "{}");
        };
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> values = new HashMap<>();
        for (String pair : query.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length < 2) continue;
            values.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return values;
    }

    private synchronized byte[] append(Map<String, String> query, byte[] body) {
        Topic topic = topicOf(query.get("topic"));
        String at = query.get("at");
        if (at != null && Long.parseLong(at) != topic.records.size()) {
            return json(412, "{\"end\":" + topic.records.size() + "}");
        }
        int offset = topic.records.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            topic.records.add(record);
        }
        notifyAll();
        return json(200, "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}");
    }

    private synchronized byte[] read(Map<String, String> query) throws Exception {
        Topic topic = topicOf(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long waitMs = Long.parseLong(query.getOrDefault("waitMs", "0"));
        long maxBytes = Long.parseLong(query.getOrDefault("maxKb", "1024")) * 1_024;
        long untilNanos = System.nanoTime() + waitMs * 1_000_000;
        while (from >= topic.first && from == topic.records.size()) {
            long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) break;
            wait(leftMs);
        }
        if (from < topic.first || from > topic.records.size()) {
            return json(410, "{\"first\":" + topic.first + "}");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.records.size());
        out.writeLong(topic.first);
        for (byte[] record : topic.records.subList(from, topic.records.size())) {
            if (bytes.size() + record.length > maxBytes) break;
            out.writeInt(record.length);
            out.write(record);
        }
        return answer(200, "application/octet-stream", bytes.toByteArray());
    }

    private synchronized byte[] newest(Map<String, String> query) {
        Topic topic = topicOf(query.get("topic"));
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < topic.records.size(); offset++) {
            byte[] record = topic.records.get(offset);
            String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + record[0], record.length);
            items.remove(key);
            if (value.length == 0) continue;
            items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
        }
        return json(200, "{\"items\":[" + String.join(",", items.values())
            + "],\"hasMore\":false,\"end\":" + topic.records.size() + "}");
    }

    private static byte[] json(int status, String text) {
        return answer(status, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] answer(int status, String type, byte[] body) {
        return Http.response(status, "Content-Type: " + type + "\r\n", body)
            .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        server.close();
        limited.close();
    }
}
