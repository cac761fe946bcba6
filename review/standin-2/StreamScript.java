import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines of two software versions serve side by side. New connections to all engines are refused
 * for two seconds, in which one machine gets streams and passes them through others. After that a
 * machine is killed. Checks that no more than two streams hold events of both versions.
 */
final class StreamScript {
    private static final int STREAMS = 50;
    private static final int WARM_UPS = 100;
    private static final int ALLOWED_MIXED = 2;
    private static final String CONFIGURATION = """
        {"version":1,"routes":[{"name":"r1","host":"shop.example","pathPrefix":"/report/",
        "kind":"stream","timeoutMs":20000,"targetLatencyMs":3000,"gapAimMs":200,"priority":1,
        "service":"scribe","maxAttempts":2,"allowAnonymous":false,"sticky":true,
        "resumable":true}],
        "services":[{"name":"scribe","healthPath":"/health","maxConnections":370,
        "engine":{"slots":64,"kvTokens":125650,"weightsMb":100000,"hostMb":150000,
        "diskMb":440000,"adapterSlots":8,"loadsPerS":1.6,
        "models":[{"name":"m","weightsMb":72700,"loadS":4.2,"adapters":0,"adapterMb":66}]}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},
        "tenants":[{"name":"t1","apiKeys":["key1"],"unit":"tokens","plainTokens":200,
        "ratePerS":900000,"burst":900000}]}
        """;

    private final Lab lab;
    private final List<Engine> engines = new ArrayList<>();
    private final AtomicInteger number = new AtomicInteger();
    private final Map<String, Set<String>> versions = new ConcurrentHashMap<>();
    private final Map<String, String> ends = new ConcurrentHashMap<>();

    private StreamScript(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.run(arguments[0], lab -> new StreamScript(lab).isBroken());
    }

    private boolean isBroken() throws Exception {
        lab.store.put("keyed.op", "config", CONFIGURATION.replace("\n", ""));
        for (String id : List.of("a1", "a2")) engines.add(newEngine(id, "v1"));
        for (String id : List.of("b1", "b2")) engines.add(newEngine(id, "v2"));
        for (String name : List.of("m1", "m2", "m3")) lab.startInstance(name);
        for (Lab.Instance instance : lab.instances) instance.awaitReady();
        Thread.sleep(4_000);
        String leader = lab.leader();
        List<Lab.Instance> others =
            lab.instances.stream().filter(it -> !it.name.equals(leader)).toList();
        Lab.Instance taking = others.get(0);
        Lab.Instance passing = others.get(1);
        lab.log("leader " + leader + ", streams go to " + taking.name + ", to be killed "
            + passing.name);
        // Short streams leave open connections from the machines that are to pass streams on.
        List<Thread> warmUps = new ArrayList<>();
        for (Lab.Instance instance : lab.instances) {
            for (int i = 0; i < WARM_UPS && instance != taking; i++) {
                warmUps.add(Lab.thread(() -> stream(instance, "short", false)));
            }
        }
        for (Thread thread : warmUps) thread.join();
        if (Lab.TROUBLE) {
            for (Engine engine : engines) engine.http.refuseConnections();
            lab.log("engines refuse new connections, open ones live on");
        }
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(Lab.thread(() -> stream(taking, "long", true)));
            Thread.sleep(30);
        }
        Thread.sleep(1_500);
        if (Lab.TROUBLE) {
            for (Engine engine : engines) engine.http.acceptConnections();
            lab.log("engines accept connections again");
        }
        Thread.sleep(1_500);
        if (Lab.TROUBLE) {
            passing.kill();
            lab.log("killed " + passing.name);
        }
        for (Thread thread : streams) thread.join();
        int mixed = 0;
        for (Map.Entry<String, Set<String>> entry : versions.entrySet()) {
            boolean isMixed = entry.getValue().size() > 1;
            if (isMixed) mixed++;
            lab.log("stream " + entry.getKey() + " holds events of " + entry.getValue() + ", "
                + ends.get(entry.getKey()));
        }
        lab.log(mixed + " of " + versions.size() + " streams hold events of two versions");
        if (versions.size() < STREAMS / 2) throw new IOException("too few streams have begun");
        return mixed > ALLOWED_MIXED;
    }

    private Engine newEngine(String id, String version) throws IOException {
        Engine engine = new Engine(lab.store, "scribe", id, version, 64,
            "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]", 20, this::onRequest);
        engine.events = 60;
        engine.eventMillis = 150;
        return engine;
    }

    private void onRequest(Engine engine, HttpPort.Request request) {
        String id = request.header("request-id");
        if (!versions.containsKey(id)) return;
        lab.log("engine " + engine.id + " " + engine.version + " runs " + id + " from event "
            + request.header("last-event-id"));
    }

    private void stream(Lab.Instance instance, String path, boolean isRecorded)
        throws IOException {
        String id = path + number.incrementAndGet();
        Set<String> seen = new TreeSet<>();
        if (isRecorded) versions.put(id, seen);
        if (isRecorded) lab.log(id + " is sent to " + instance.name);
        try (Lab.Client client = new Lab.Client(instance.front)) {
            client.send("POST /report/" + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                + id + "\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer key1\r\nModel: m\r\n"
                + "Token-Count: 500,100\r\nPrompt-Prefix: 5c1e07a2:100,91bd3f" + id.hashCode()
                + ":400\r\nContent-Length: 4\r\n\r\nbody");
            String first = client.readLine();
            int events = 0;
            boolean isComplete = false;
            for (String line = client.readLine(); line != null; line = client.readLine()) {
                if (line.startsWith("data: ")) {
                    events++;
                    seen.add(line.split(" ")[1]);
                }
                isComplete = line.equals("0");
                if (isComplete) break;
            }
            ends.put(id, first + ", " + events + " events, complete " + isComplete);
        } catch (IOException e) {
            ends.put(id, "broken off");
        }
    }
}
