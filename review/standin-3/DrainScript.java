import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine leaves without a word: its entry is removed, and it serves on for some seconds. Right
 * after that the store deletes the records of the topic; the newest of each key stay readable.
 */
final class DrainScript {
    private static final int DRAIN_MS = 2_000;
    private static final int STABLE_WINDOW_MS = 3_000;
    private static final String CONFIG = """
        {"version":1,"routes":[{"name":"book","host":"yard.example","pathPrefix":"/book/",
        "kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"desk",
        "maxAttempts":1,"allowAnonymous":false}],"services":[{"name":"desk",
        "healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,
        "coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,
        "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{
        "name":"yard","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,
        "ratePerS":200000,"burst":200000}]}""";
    private static final AtomicInteger REQUESTS = new AtomicInteger();

    public static void main(String[] args) {
        Lab.run(args[0], DrainScript::run);
    }

    private static int run(Lab lab) throws Exception {
        lab.store.put("keyed.op", "config", CONFIG.replace("\n", ""));
        List<Desk> desks = new ArrayList<>();
        for (int i = 1; i <= 3; i++) desks.add(new Desk(lab, "i-desk-" + i, "desk", 6, 60));
        List<Lab.Instance> instances = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Lab.Instance instance = lab.new Instance("front-" + i, "127.0.0.1" + i, "taupo");
            instance.awaitReady();
            instances.add(instance);
        }
        Lab.sleep(4_000);
        for (int i = 0; i < 4; i++) bookAt(lab, instances);
        Lab.sleep(1_000);

        // The store's readers have just got a record when the entry is removed.
        Desk leaving = desks.get(2);
        desks.get(0).beat();
        Lab.sleep(100);
        leaving.leave();
        if (lab.hasTrouble) {
            lab.store.forgetHistory("keyed.servers");
            lab.say("the store has deleted the records of keyed.servers");
        }
        Lab.sleep(STABLE_WINDOW_MS + 1_000);
        for (int i = 0; i < 20; i++) bookAt(lab, instances);
        leaving.close();
        long lateMs = leaving.lastArrival() - leaving.removedAt() - DRAIN_MS;
        boolean isBroken = lateMs > 0;
        lab.say(isBroken
            ? "a request has reached it " + lateMs + " ms later than drainMs after that"
            : "no request has reached it later than drainMs after that");
        return isBroken ? Lab.BROKEN : Lab.HELD;
    }

    private static void bookAt(Lab lab, List<Lab.Instance> instances) {
        for (Lab.Instance instance : instances) {
            String request = String.format("%016x", 0xb00c000 + REQUESTS.incrementAndGet());
            try (Http.Connection connection = Http.Connection.to(instance.front)) {
                connection.send("POST /book/2f HTTP/1.1\r\nHost: yard.example\r\nRequest-Id: "
                    + request + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n"
                    + "Content-Length: 4\r\n\r\nbook");
                Http.Head head = connection.readHead();
                if (head == null) throw new IOException("closed");
                connection.readBody(head);
                lab.say(request + " by " + instance.name + ": " + head.status() + " "
                    + head.get("Server-Stamp"));
            } catch (IOException e) {
                lab.say(request + " by " + instance.name + ": " + e);
            }
        }
        Lab.sleep(50);
    }
}
