import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for the platform's store: topics with one partition, conditional appends, reads that
 * wait, and the newest record of each key. It loses nothing and its answers are linearizable.
 */
final class Store {
    /** Decides what happens to an append. */
    interface AppendFate {
        /** Returns whether the answer of the append of [record] to [topic] is lost. */
        boolean isAnswerLost(String topic, byte[] record, boolean isAppended);
    }

    final Http.Server server;
    volatile AppendFate fate = (topic, record, isAppended) -> false;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Record log;

    Store(Record log) throws IOException {
        this.log = log;
        server = new Http.Server(this::handle);
    }

    int port() {
        return server.port;
    }

    /** Writes [value] under [key], as the operator and the engines do; null removes the key. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] text = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + text.length);
        record.put((byte) name.length).put(name).put(text);
        synchronized (topics) {
            records(topic).add(record.array());
            topics.notifyAll();
        }
    }

    List<byte[]> snapshot(String topic) {
        synchronized (topics) {
            return new ArrayList<>(records(topic));
        }
    }

    private List<byte[]> records(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private static Map<String, String> query(String target) {
        Map<String, String> fields = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return fields;
        for (String field : target.substring(mark + 1).split("&")) {
            String[] parts = field.split("=", 2);
            fields.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        return fields;
    }

    private boolean handle(
            Socket socket, InputStream in, OutputStream out, Http.Head head, byte[] body)
            throws Exception {
        Map<String, String> query = query(head.target());
        String path = head.target().split("\\?")[0];
        String topic = query.get("topic");
        switch (path) {
            case "/log-append":
                return append(out, topic, query.get("at"), body);
            case "/log-read":
                read(out, topic, Long.parseLong(query.get("from")),
                    Long.parseLong(query.getOrDefault("waitMs", "0")));
                return true;
            case "/log-newest":
                newest(out, topic);
                return true;
            default:
                Http.respondJson(out, "404 Not Found", era(), "{}");
                return true;
        }
    }

    private static String era() {
        return "Store-Era: 0\r\n";
    }

    private boolean append(OutputStream out, String topic, String at, byte[] body)
            throws Exception {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<byte[]> added = new ArrayList<>();
        while (buffer.hasRemaining()) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            added.add(record);
        }
        long offset;
        long end;
        boolean isAppended;
        synchronized (topics) {
            List<byte[]> records = records(topic);
            offset = records.size();
            isAppended = at == null || Long.parseLong(at) == offset;
            if (isAppended) {
                records.addAll(added);
                topics.notifyAll();
            }
            end = records.size();
        }
        byte[] first = added.isEmpty() ? new byte[0] : added.get(0);
        if (fate.isAnswerLost(topic, first, isAppended)) {
            log.line("store: append to " + topic + " at " + at + " appended=" + isAppended
                + ", its answer is lost");
            // Nothing further comes on this connection.
            Thread.sleep(120_000);
            return false;
        }
        Thread.sleep(4);
        if (isAppended) {
            Http.respondJson(out, "200 OK", era(),
                "{\"offset\":" + offset + ",\"end\":" + end + "}");
        } else {
            Http.respondJson(out, "412 Precondition Failed", era(), "{\"end\":" + end + "}");
        }
        return true;
    }

    private void read(OutputStream out, String topic, long from, long waitMillis)
            throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        long end = 0;
        synchronized (topics) {
            long until = System.currentTimeMillis() + waitMillis;
            while (records(topic).size() <= from) {
                long left = until - System.currentTimeMillis();
                if (left <= 0) break;
                topics.wait(left);
            }
            List<byte[]> records = records(topic);
            end = records.size();
            for (long i = from; i < end; i++) {
                byte[] record = records.get((int) i);
                bytes.write(ByteBuffer.allocate(4).putInt(record.length).array());
                bytes.write(record);
                if (bytes.size() > 1_000_000) break;
            }
        }
        if (from > end) {
            Http.respondJson(out, "410 Gone", era(), "{\"first\":0}");
            return;
        }
        ByteBuffer head = ByteBuffer.allocate(16).putLong(end).putLong(0);
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        answer.write(head.array());
        answer.write(bytes.toByteArray());
        Http.respond(out, "200 OK", era(), answer.toByteArray());
    }

    private void newest(OutputStream out, String topic) throws IOException {
        Map<String, String> items = new LinkedHashMap<>();
        int end;
        synchronized (topics) {
            List<byte[]> records = records(topic);
            end = records.size();
            for (int offset = 0; offset < end; offset++) {
                byte[] record = records.get(offset);
                int size = record[0] & 0xff;
                String key = new String(record, 1, size, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + size, record.length);
                items.remove(key);
                if (value.length > 0) {
                    items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset
                        + "}");
                }
            }
        }
        Http.respondJson(out, "200 OK", era(), "{\"items\":[" + String.join(",", items.values())
            + "],\"hasMore\":false,\"end\":" + end + "}");
    }
}
