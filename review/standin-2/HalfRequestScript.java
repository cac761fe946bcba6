import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few connections send many requests over HTTP/2 that stop short of their bodies. Checks that the
 * bookings of ordinary clients that were passed on to engines are answered.
 */
final class HalfRequestScript {
    private static final int CLIENTS = 40;
    private static final int HOSTILE_CONNECTIONS = 4;
    private static final int HALF_REQUESTS = 10_000;
    private static final int ALLOWED_LOST = 3;
    private static final int HEADERS_FRAME = 1;
    private static final int SETTINGS_FRAME = 4;
    private static final int ACK = 1;
    private static final int END_HEADERS = 4;
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/book/",
        "kind":"unsafe","timeoutMs":6000,"targetLatencyMs":600,"priority":2,"service":"desk",
        "maxAttempts":1,"allowAnonymous":true}],
        "services":[{"name":"desk","healthPath":"/health","maxConnections":370}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},"tenants":[]}
        """;

    private final Lab lab;
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private volatile boolean isOver;

    private HalfRequestScript(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments[0], lab -> new HalfRequestScript(lab).isBroken());
    }

    private boolean isBroken() throws Exception {
        lab.store.put("keyed.op", "config", CONFIGURATION.replace("\n", ""));
        for (String id : List.of("e1", "e2")) {
            new Engine(lab.store, "desk", id, "v1", 64, "[]", 1_500,
                this::onRequest);
        }
        for (String name : List.of("m1", "m2")) lab.startInstance(name);
        for (Lab.Instance instance : lab.instances) instance.awaitReady();
        Thread.sleep(3_000);
        for (Lab.Instance instance : lab.instances) {
            for (int i = 0; i < CLIENTS; i++) {
                Lab.thread(() -> book(instance));
                Thread.sleep(30);
            }
        }
        Thread.sleep(6_000);
        Lab.Instance target = lab.instances.get(0);
        lab.log("served so far: " + served.get());
        for (int i = 0; i < HOSTILE_CONNECTIONS && Lab.TROUBLE; i++) {
            Lab.thread(() -> sendHalfRequests(target));
        }
        for (int second = 0; second < 20 && target.isAlive(); second++) Thread.sleep(1_000);
        lab.log(target.name + (target.isAlive() ? " runs" : " has ended by itself"));
        Thread.sleep(3_000);
        isOver = true;
        lab.log("bookings served: " + served.get());
        lab.log("bookings that an engine ran and whose kept connection was closed without an "
            + "answer: " + lost.get());
        if (served.get() < CLIENTS) throw new IOException("too few bookings were served");
        return lost.get() > ALLOWED_LOST;
    }

    private void onRequest(Engine engine, HttpPort.Request request) {
        run.add(request.header("request-id"));
        lab.log(engine.id + " runs " + request.header("request-id"));
    }

    /** Books on kept connections until the script is over. */
    private void book(Lab.Instance instance) throws InterruptedException {
        while (!isOver) {
            String id = null;
            int count = 0;
            try (Lab.Client client = new Lab.Client(instance.front)) {
                while (!isOver) {
                    id = "b" + number.incrementAndGet();
                    lab.log(id + " is sent to " + instance.name);
                    client.send("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody");
                    Lab.Answer answer = client.readAnswer();
                    lab.log(id + " is answered " + answer.status());
                    if (answer.status() == 200) served.incrementAndGet();
                    count++;
                    if ("close".equals(answer.headers().get("connection"))) break;
                }
            } catch (IOException e) {
                // The first request of a connection isn't one of a kept connection.
                if (count > 0 && id != null && run.contains(id) && !isOver) {
                    lost.incrementAndGet();
                    lab.log(id + " at " + instance.name + " ran and was not answered: " + e);
                }
                Thread.sleep(200);
            }
        }
    }

    /** Sends the heads of many requests; of their bodies of four bytes nothing. */
    private void sendHalfRequests(Lab.Instance instance) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", instance.front)) {
            Lab.thread(() -> readFrames(socket));
            OutputStream out = socket.getOutputStream();
            out.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(frame(SETTINGS_FRAME, 0, 0, new byte[0]));
            Thread.sleep(200);
            int bytes = 0;
            for (int i = 0; i < HALF_REQUESTS; i++) {
                byte[] head = frame(HEADERS_FRAME, END_HEADERS, 2 * i + 1,
                    fields("h" + number.incrementAndGet()));
                bytes += head.length;
                out.write(head);
            }
            lab.log(HALF_REQUESTS + " heads were sent on one connection, " + bytes + " bytes");
            while (!isOver) Thread.sleep(100);
        }
    }

    private static void readFrames(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            int lengthAndType = in.readInt();
            int flags = in.readUnsignedByte();
            in.readInt();
            in.readNBytes(lengthAndType >>> 8);
            boolean isSettings = (lengthAndType & 0xff) == SETTINGS_FRAME && flags != ACK;
            if (!isSettings) continue;
            socket.getOutputStream().write(frame(SETTINGS_FRAME, ACK, 0, new byte[0]));
        }
    }

    private static byte[] frame(int type, int flags, int stream, byte[] payload) {
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        frame.write(payload.length >> 16);
        frame.write(payload.length >> 8);
        frame.write(payload.length);
        frame.write(type);
        frame.write(flags);
        for (int shift = 24; shift >= 0; shift -= 8) frame.write(stream >> shift);
        frame.writeBytes(payload);
        return frame.toByteArray();
    }

    /** The header block, each field as a literal that isn't indexed. */
    private static byte[] fields(String id) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        List.of(
            Map.entry(":method", "POST"),
            Map.entry(":scheme", "http"),
            Map.entry(":path", "/book/1"),
            Map.entry(":authority", "shop.example"),
            Map.entry("request-id", id),
            Map.entry("deadline-ms", "6000"),
            Map.entry("content-length", "4")
        ).forEach(field -> {
            block.write(0);
            block.write(field.getKey().length());
            block.writeBytes(field.getKey().getBytes(StandardCharsets.US_ASCII));
            block.write(field.getValue().length());
            block.writeBytes(field.getValue().getBytes(StandardCharsets.US_ASCII));
        });
        return block.toByteArray();
    }
}
