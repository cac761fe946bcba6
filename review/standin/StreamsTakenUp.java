import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine freezes, and a release begins: the first engine of a new software version starts before
 * an old one drains. Clients whose streams have stopped take them up at the other machines. The
 * check is LOST: of 12 or more such streams, the share that goes on is at least half of the share of
 * new streams that begin, while two engines of their version serve.
 */
final class StreamsTakenUp {
    private static final int STREAMS = 18;
    /** After this gap a client abandons a stream: four times the objective of 1,200 ms. */
    private static final int MAX_GAP_MILLIS = 4_800;
    private static final AtomicInteger TAKEN_UP = new AtomicInteger();
    private static final AtomicInteger WENT_ON = new AtomicInteger();
    private static final AtomicInteger COMPLETE = new AtomicInteger();
    private static final AtomicInteger NEW = new AtomicInteger();
    private static final AtomicInteger NEW_BEGUN = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record log = new Record(args[0] + "/record.txt");
        Deployment site = new Deployment(log);
        site.moreRoutes = Deployment.streamRoute("night", 15_000, 1_200, 150, true);
        site.configure();
        for (int i = 1; i <= 2; i++) {
            Engine engine = site.modelEngine("i-" + i, "v1", List.of("m0", "m1"));
            engine.events = 60;
            engine.eventMillis = 100;
        }
        site.plainServer("i-9");
        for (int i = 1; i <= 3; i++) site.instance("front-" + i).start();
        if (!site.awaitReady(30)) {
            log.say("the instances were not ready");
            site.end(2);
        }
        Thread.sleep(4_000);
        List<byte[]> leadership = site.store.snapshot("leadership");
        String newest = new String(leadership.get(leadership.size() - 1), StandardCharsets.UTF_8);
        Instance frozen = null;
        List<Instance> others = new ArrayList<>();
        for (Instance instance : site.instances) {
            boolean isLeader = newest.startsWith("{\"instance\":\"" + instance.name + "\"");
            if (frozen == null && !isLeader) frozen = instance;
            else others.add(instance);
        }
        log.say("streams begin at " + frozen.name + ", which does not lead");
        List<Thread> clients = new ArrayList<>();
        Instance first = frozen;
        for (int i = 0; i < STREAMS; i++) {
            Instance second = others.get(i % 2);
            clients.add(Http.start("stream", () -> follow(first, second, log)));
            Thread.sleep(20);
        }
        Thread.sleep(1_500);
        if (hasTrouble) {
            log.say(frozen.name + " freezes");
            frozen.signal("STOP");
            Thread.sleep(1_000);
            Engine next = site.modelEngine("i-3", "v2", List.of());
            next.events = 60;
            next.eventMillis = 100;
            log.say("the first engine of version v2 is registered; i-1 and i-2 go on serving");
        } else {
            Thread.sleep(1_000);
        }
        Thread.sleep(2_500);
        for (int i = 0; i < 12; i++) {
            Instance target = others.get(i % 2);
            Http.start("new", () -> {
                NEW.incrementAndGet();
                Client.Answer answer = Client.send(target.front, "POST", "/night/1",
                    Deployment.headers("m0"), "prompt".getBytes(), 15_000, MAX_GAP_MILLIS);
                log.line("client: new stream at " + target.name + ": " + answer);
                if (answer.status == 200) NEW_BEGUN.incrementAndGet();
            });
            Thread.sleep(150);
        }
        Thread.sleep(1_500);
        if (hasTrouble) {
            frozen.signal("CONT");
            log.say(frozen.name + " wakes");
        }
        for (Thread client : clients) client.join(20_000);
        Thread.sleep(7_000);
        double goOn = TAKEN_UP.get() == 0 ? 1 : (double) WENT_ON.get() / TAKEN_UP.get();
        double begin = NEW.get() == 0 ? 0 : (double) NEW_BEGUN.get() / NEW.get();
        log.say(TAKEN_UP + " streams taken up, " + WENT_ON + " went on; " + NEW_BEGUN + " of " + NEW
            + " new streams began; " + COMPLETE + " of " + STREAMS + " streams complete");
        boolean isBroken = TAKEN_UP.get() >= 12 && goOn < begin / 2;
        if (begin == 0) site.end(2);
        site.end(isBroken ? 1 : 0);
    }

    /** Follows a stream; after a gap, takes it up at another machine, and once more if refused. */
    private static void follow(Instance first, Instance second, Record log) throws Exception {
        String id = Client.newId();
        int[] lastEvent = {0};
        if (read(first, id, null, lastEvent, log)) {
            COMPLETE.incrementAndGet();
            return;
        }
        log.line("client: stream " + id + " stopped after event " + lastEvent[0]);
        if (lastEvent[0] == 0) return;
        TAKEN_UP.incrementAndGet();
        int before = lastEvent[0];
        for (int attempt = 0; attempt < 2; attempt++) {
            boolean isComplete = read(second, Client.newId(), id, lastEvent, log);
            if (isComplete) COMPLETE.incrementAndGet();
            if (lastEvent[0] > before) {
                WENT_ON.incrementAndGet();
                return;
            }
            Thread.sleep(600);
        }
    }

    /** Reads a stream, on from the last event; true if it has come to its end. */
    private static boolean read(Instance target, String id, String resumes, int[] lastEvent,
            Record log) throws InterruptedException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), target.front)) {
            socket.setSoTimeout(MAX_GAP_MILLIS);
            String head = "POST /night/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 15000\r\n" + Deployment.headers("m0")
                + (resumes == null ? "" : "Resumes: " + resumes + "\r\nLast-Event-Id: "
                    + lastEvent[0] + "\r\n")
                + "Content-Length: 0\r\n\r\n";
            Http.write(socket.getOutputStream(), head);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head response = Http.readHead(in);
            if (response == null) return false;
            if (response.status() != 200) {
                log.line("client: " + id + " at " + target.name + " (resumes " + resumes + "): "
                    + response.status() + " Retry-After " + response.get("retry-after"));
                return false;
            }
            while (true) {
                String line = Http.readLine(in);
                if (line == null) return false;
                if (line.startsWith("id: ")) lastEvent[0] = Integer.parseInt(line.substring(4));
                if (line.equals("0")) return true;
            }
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return false;
        }
    }
}
