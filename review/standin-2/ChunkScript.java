import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One engine of six is in trouble for some seconds: the bodies of a part of its answers don't end
 * and come in short chunks. Checks that requests which outlast the timeout of their route end soon
 * after it.
 */
final class ChunkScript {
    private static final int ENGINES = 6;
    private static final int MACHINES = 2;
    private static final long SPACING_MILLIS = 15;
    private static final int SPOILT_OF_20 = 9;
    private static final long TROUBLE_MILLIS = 6_500;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 500;
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/look/",
        "kind":"safe","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"desk",
        "maxAttempts":2,"allowAnonymous":true}],
        "services":[{"name":"desk","healthPath":"/health","maxConnections":370}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},"tenants":[]}
        """;

    private final Lab lab;
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger arrived = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger lasting = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicLong spoiltBytes = new AtomicLong();
    private volatile boolean isInTrouble;

    private ChunkScript(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments[0], lab -> new ChunkScript(lab).isBroken());
    }

    private boolean isBroken() throws Exception {
        lab.store.put("keyed.op", "config", CONFIGURATION.replace("\n", ""));
        for (int i = 1; i <= ENGINES; i++) {
            boolean isBad = i == 1;
            new Engine(lab.store, "desk", "e" + i, "v1", 64, "[]", 20, this::onRequest) {
                @Override
                boolean answers(HttpPort.Request request, HttpPort.Connection connection)
                    throws IOException {
                    if (!isBad || !isInTrouble || arrived.getAndIncrement() % 20 >= SPOILT_OF_20) return false;
                    writeWithoutEnd(request, connection, id);
                    return true;
                }
            };
        }
        for (int i = 1; i <= MACHINES; i++) lab.startInstance("m" + i);
        for (Lab.Instance instance : lab.instances) instance.awaitReady();
        Thread.sleep(3_000);
        long startMillis = Lab.nowMillis();
        Thread sender = Lab.thread(() -> {
            while (Lab.nowMillis() < startMillis + 18_000) {
                for (Lab.Instance instance : lab.instances) {
                    Lab.thread(() -> request(instance));
                }
                Thread.sleep(SPACING_MILLIS);
            }
        });
        Thread.sleep(4_000);
        if (Lab.TROUBLE) {
            isInTrouble = true;
            lab.log("e1 is in trouble");
        }
        Thread.sleep(TROUBLE_MILLIS);
        isInTrouble = false;
        lab.log("e1 gives sound answers again");
        sender.join();
        Thread.sleep(TIMEOUT_MILLIS + GRACE_MILLIS);
        lab.log("e1 began " + spoilt.get() + " bodies without end, " + spoiltBytes.get()
            + " bytes were written");
        lab.log("requests: " + begun.get() + ", with a whole answer of 200: " + served.get());
        lab.log("requests that lasted longer than timeoutMs: " + lasting.get()
            + ", without an end " + GRACE_MILLIS + " ms after it: " + late.get());
        if (served.get() < begun.get() / 5) lab.log("less than a fifth was served");
        return late.get() >= 8 && late.get() * 4 > lasting.get();
    }

    private void onRequest(Engine engine, HttpPort.Request request) {
        lab.log(engine.id + " runs " + request.header("request-id"));
    }

    private void writeWithoutEnd(HttpPort.Request request, HttpPort.Connection connection,
        String id) throws IOException {
        lab.log(id + " runs " + request.header("request-id") + ", a body without end");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", request.header("request-id"));
        headers.put("Server-Stamp", id + ".0" + spoilt.incrementAndGet());
        connection.beginChunks(200, headers);
        byte[] chunks = "1\r\nx\r\n".repeat(2_000).getBytes(StandardCharsets.US_ASCII);
        while (true) {
            connection.out.write(chunks);
            spoiltBytes.addAndGet(chunks.length);
        }
    }

    private void request(Lab.Instance instance) throws IOException, InterruptedException {
        String id = "c" + number.incrementAndGet();
        long sentMillis = Lab.nowMillis();
        begun.incrementAndGet();
        lab.log(id + " is sent to " + instance.name);
        Thread watch = Lab.thread(() -> watch(id, instance, sentMillis));
        String end = "closed";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", instance.front), 1_000);
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(("POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
                + "Request-Id: " + id + "\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody")
                .getBytes(StandardCharsets.US_ASCII));
            end = read(socket.getInputStream());
        } catch (IOException e) {
            end = e.toString();
        }
        watch.interrupt();
        long tookMillis = Lab.nowMillis() - sentMillis;
        if (end.equals("200")) served.incrementAndGet();
        lab.log(id + " at " + instance.name + " ended after " + tookMillis + " ms: " + end);
    }

    /** Counts a request that lasts longer than its route allows. */
    private void watch(String id, Lab.Instance instance, long sentMillis)
        throws InterruptedException {
        Thread.sleep(Math.max(0, sentMillis + TIMEOUT_MILLIS - Lab.nowMillis()));
        lasting.incrementAndGet();
        Thread.sleep(GRACE_MILLIS);
        late.incrementAndGet();
        lab.log(id + " at " + instance.name + " has no end " + GRACE_MILLIS
            + " ms after its timeout");
    }

    /** Reads a whole answer; returns its status, or how it ended. */
    private static String read(InputStream in) throws IOException {
        byte[] bytes = new byte[65_536];
        int count = in.read(bytes);
        if (count < 0) return "closed";
        String head = new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
        String status = head.split(" ")[1];
        if (!head.toLowerCase().contains("transfer-encoding: chunked")) return status;
        String tail = head;
        while (!tail.endsWith("0\r\n\r\n")) {
            count = in.read(bytes);
            if (count < 0) return status + ", broken off";
            tail = new String(bytes, Math.max(0, count - 5), Math.min(5, count),
                StandardCharsets.ISO_8859_1);
        }
        return status;
    }
}
