import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store: a log with topics of one partition, without any fault of its own. */
final class Store implements AutoCloseable {
    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        int first;
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpPort http;

    Store() throws IOException {
        http = new HttpPort(this::handle);
    }

    int port() {
        return http.port();
    }

    /** Appends a record of a keyed topic; a null value removes the key. Returns its offset. */
    synchronized int put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
        record.put((byte) name.length).put(name).put(text);
        topic(topic).records.add(record.array());
        notifyAll();
        return topic(topic).records.size() - 1;
    }

    /** Deletes the records of a topic; the newest of each key stays in log-newest. */
    synchronized int deleteRecords(String topic) {
        topic(topic).first = topic(topic).records.size();
        return topic(topic).first;
    }

    /** The newest record of a topic as text, null if there is none. */
    synchronized String newest(String topic) {
        List<byte[]> records = topic(topic).records;
        return records.isEmpty() ? null : new String(records.get(records.size() - 1));
    }

    @Override
    public void close() throws IOException {
        http.close();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, it -> new Topic());
    }

    private void handle(HttpPort.Request request, HttpPort.Connection connection)
        throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String topic = request.parameter("topic");
        switch (request.path()) {
            case "/log-append" -> append(request, topic, connection);
            case "/log-read" -> read(request, topic, connection);
            case "/log-newest" -> json(connection, 200, newestOfEachKey(topic));
            default -> connection.answer(404, headers, new byte[0]);
        }
    }

    private static void json(HttpPort.Connection connection, int status, String text)
        throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        connection.answer(status, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    private void append(HttpPort.Request request, String name, HttpPort.Connection connection)
        throws IOException {
        int status = 200;
        String text;
        synchronized (this) {
            Topic topic = topic(name);
            String at = request.parameter("at");
            int offset = topic.records.size();
            if (at != null && Integer.parseInt(at) != offset) {
                status = 412;
                text = "{\"end\":" + offset + "}";
            } else {
                ByteBuffer body = ByteBuffer.wrap(request.body());
                while (body.hasRemaining()) {
                    byte[] record = new byte[body.getInt()];
                    body.get(record);
                    topic.records.add(record);
                }
                text = "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}";
                notifyAll();
            }
        }
        json(connection, status, text);
    }

    private void read(HttpPort.Request request, String name, HttpPort.Connection connection)
        throws IOException {
        int from = Integer.parseInt(request.parameter("from"));
        String wait = request.parameter("waitMs");
        long endMillis = Lab.nowMillis() + (wait == null ? 0 : Long.parseLong(wait));
        byte[] body = null;
        int first;
        synchronized (this) {
            Topic topic = topic(name);
            while (from == topic.records.size() && Lab.nowMillis() < endMillis) {
                try {
                    wait(Math.max(1, endMillis - Lab.nowMillis()));
                } catch (InterruptedException e) {
                    return;
                }
            }
            first = topic.first;
            if (from >= first && from <= topic.records.size()) {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.write(ByteBuffer.allocate(16)
                    .putLong(topic.records.size()).putLong(first).array());
                for (byte[] record : topic.records.subList(from, topic.records.size())) {
                    if (bytes.size() > 1_000_000) break;
                    bytes.write(ByteBuffer.allocate(4).putInt(record.length).array());
                    bytes.write(record);
                }
                body = bytes.toByteArray();
            }
        }
        if (body == null) {
            json(connection, 410, "{\"first\":" + first + "}");
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/octet-stream");
        connection.answer(200, headers, body);
    }

    private synchronized String newestOfEachKey(String name) {
        Map<String, String> items = new LinkedHashMap<>();
        List<byte[]> records = topic(name).records;
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] record = records.get(offset);
            String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(record, 1 + record[0], record.length);
            items.remove(key);
            if (value.length == 0) continue;
            items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"end\":"
            + records.size() + "}";
    }
}
