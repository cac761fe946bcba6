import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: a store, engines, a plain service and the instances of the system. */
final class Deployment {
    /** The bounds of the sheets. */
    static final String BOUNDS = "{\"seedLagS\":3,\"addrReuseS\":2,\"stableWindowMs\":3000,"
        + "\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lostMs\":200,"
        + "\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,"
        + "\"strictRevoke\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,"
        + "\"budgetWindowS\":10,\"budgetSlack\":56,\"quotaWindowS\":8,\"quotaOver\":0.1,"
        + "\"quotaSlack\":7400,\"coldOver\":1.5,\"coldSlack\":5,\"evacMs\":5000,"
        + "\"recoverS\":12,\"passMs\":120,\"againS\":0,\"requireFence\":true,"
        + "\"leaseMs\":3000,\"thawMs\":300,\"ceilingWindowS\":5,\"ceilingOver\":1.1}";

    final Record log;
    final Store store;
    final Path folder;
    final List<Instance> instances = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    int configVersion;
    /** Further tenants of the configuration, each with a comma before it. */
    String moreTenants = "";
    List<String> models = List.of("m0", "m1");
    /** Further routes of the configuration, each with a comma before it. */
    String moreRoutes = "";

    Deployment(Record log) throws IOException {
        this.log = log;
        store = new Store(log);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Instance::killAll));
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            log.say("the case could not run: " + error);
            Instance.killAll();
            Runtime.getRuntime().halt(2);
        });
    }

    Engine modelEngine(String id, String version, List<String> held) throws IOException {
        Engine engine = new Engine(id, "scribe", version, 64, held, true, store, log);
        engines.add(engine);
        return engine;
    }

    Engine plainServer(String id) throws IOException {
        Engine engine = new Engine(id, "desk", "v1", 8, List.of(), false, store, log);
        engines.add(engine);
        return engine;
    }

    /** Returns a stream route for the configuration, with a comma before it. */
    static String streamRoute(String prefix, int timeoutMillis, int targetMillis, int gapMillis,
            boolean isResumable) {
        return ",{\"name\":\"r-" + prefix + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + prefix
            + "/\",\"kind\":\"stream\",\"timeoutMs\":" + timeoutMillis
            + ",\"targetLatencyMs\":" + targetMillis + ",\"priority\":1,\"service\":\"scribe\","
            + "\"maxAttempts\":2,\"allowAnonymous\":false,\"sticky\":true,\"resumable\":"
            + isResumable + ",\"gapAimMs\":" + gapMillis + "}";
    }

    /** Writes the next version of the configuration, whose answer is its acknowledgement. */
    void configure() {
        configVersion++;
        List<String> items = new ArrayList<>();
        for (String model : models) {
            items.add("{\"name\":\"" + model + "\",\"weightsMb\":72700,\"loadS\":4.2,"
                + "\"adapters\":4,\"adapterMb\":66.0,\"warmS\":0.4,\"diskS\":0.84}");
        }
        store.put("keyed.op", "config", String.format(Locale.ROOT, """
            {"version":%d,"routes":[
            {"name":"r1","host":"h.example","pathPrefix":"/report/","kind":"stream",
            "timeoutMs":12000,"targetLatencyMs":300,"priority":1,"service":"scribe",
            "maxAttempts":1,"allowAnonymous":false,"sticky":true,"resumable":false,
            "gapAimMs":200},
            {"name":"r2","host":"h.example","pathPrefix":"/batch/","kind":"stream",
            "timeoutMs":20000,"targetLatencyMs":3000,"priority":1,"service":"scribe",
            "maxAttempts":2,"allowAnonymous":false,"sticky":true,"resumable":true,
            "gapAimMs":200},
            {"name":"r3","host":"h.example","pathPrefix":"/book/","kind":"unsafe",
            "timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"desk",
            "maxAttempts":1,"allowAnonymous":false},
            {"name":"r4","host":"h.example","pathPrefix":"/stock/","kind":"safe",
            "timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"desk",
            "maxAttempts":2,"allowAnonymous":false}%s],
            "services":[{"name":"scribe","healthPath":"/health","maxConnections":370,
            "coldStartS":0.0,"coldPerS":0.0,"engine":{"slots":16,"kvTokens":125650,
            "kvBytes":163840,"weightsMb":220000,"adapterSlots":8,"loadsPerS":1.6,
            "hostMb":150000.0,"diskMb":440000.0,"models":[%s]}},
            {"name":"desk","healthPath":"/health","maxConnections":110}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000},
            "tenants":[{"name":"t1","apiKeys":["key-of-t1"],"unit":"tokens","plainTokens":200,
            "ratePerS":40000,"burst":40000}%s]}""",
            configVersion, moreRoutes, String.join(",", items), moreTenants));
        log.line("operator: configuration " + configVersion + " acknowledged, models " + models);
    }

    Instance instance(String name) throws IOException {
        Instance instance = new Instance(name, folder, store.port(), BOUNDS);
        instances.add(instance);
        return instance;
    }

    /** Waits until all instances are ready; false if they are not within the time. */
    boolean awaitReady(long seconds) throws InterruptedException {
        long until = log.millis() + seconds * 1_000;
        while (log.millis() < until) {
            if (instances.stream().allMatch(Instance::isReady)) return true;
            Thread.sleep(100);
        }
        return false;
    }

    static String headers(String model) {
        String tokens = "Token-Count: 300,40\r\nAuthorization: Bearer key-of-t1\r\n";
        return model == null ? "Authorization: Bearer key-of-t1\r\n"
            : "Model: " + model + "\r\n" + tokens;
    }

    Client.Answer report(Instance instance, String model) {
        return Client.send(instance.front, "POST", "/report/1", headers(model),
            "prompt".getBytes(), 12_000);
    }

    Client.Answer batch(Instance instance, String model) {
        return Client.send(instance.front, "POST", "/batch/1", headers(model),
            "prompt".getBytes(), 20_000);
    }

    Client.Answer book(Instance instance) {
        return Client.send(instance.front, "POST", "/book/1", headers(null),
            "booking".getBytes(), 4_000);
    }

    Client.Answer look(Instance instance) {
        return Client.send(instance.front, "GET", "/stock/" + System.nanoTime(), headers(null),
            new byte[0], 4_000);
    }

    /** The decisions of the processes that the record of a run repeats. */
    private static final Pattern NOTED = Pattern.compile(
        "leader_|leadership|shares_|OutOfMemoryError|NoSuchElementException: |"
            + "\"started\"|leaving");

    /** Ends the processes and the run with [code], and removes the temporary folder. */
    void end(int code) throws IOException {
        for (Instance instance : instances) {
            int noted = 0;
            for (String line : instance.log()) {
                if (noted < 40 && NOTED.matcher(line).find()) {
                    log.line("output of " + instance.name + ": "
                        + line.substring(0, Math.min(300, line.length())));
                    noted++;
                }
            }
        }
        log.say("exit code " + code);
        Instance.killAll();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
        Runtime.getRuntime().halt(code);
    }
}
