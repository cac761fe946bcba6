import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What all scripts share: the record, the instances as processes, and the verdict. */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long MAX_RUN_MS = 110_000;

    final Path folder;
    final Store store;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Instance> instances = new ArrayList<>();

    Lab(String recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        say("TROUBLE=" + (hasTrouble ? "1" : "0"));
    }

    /** Milliseconds since the start of the script. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line into the record. */
    void say(String text) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f  %s", now() / 1_000.0, text));
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A process of the program, started with the command of the deploy file. */
    final class Instance {
        final String name;
        final String host;
        final InetSocketAddress front;
        private final InetSocketAddress ready;
        private final Process process;

        Instance(String name, String host, String zone) throws IOException {
            this(name, host, zone, store.address());
        }

        Instance(String name, String host, String zone, String storeAddress) throws IOException {
            this.name = name;
            this.host = host;
            front = new InetSocketAddress(host, freePort(host));
            ready = new InetSocketAddress(host, freePort(host));
            int peer = freePort(host);
            int metrics = freePort(host);
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, "{\"node\":\"" + name + "\",\"role\":\"entry\",\"ip\":\""
                + host + "\",\"zone\":\"" + zone + "\",\"region\":\"nz-north\",\"portRange\":["
                + peer + "," + metrics + "],\"listen\":{\"front\":\"" + host + ":"
                + front.getPort() + "\",\"ready\":\"" + host + ":" + ready.getPort()
                + "\",\"control\":\"" + host + ":" + freePort(host) + "\"},\"limits\":{"
                + "\"memoryMb\":430,\"maxFds\":4100},\"bounds\":{\"stableWindowMs\":3000,"
                + "\"drainMs\":2000,\"graceS\":8,\"configApplyMs\":2000,\"retryBudgetRatio\":0.2,"
                + "\"budgetWindowS\":10,\"budgetSlack\":56,\"quotaWindowS\":8,\"quotaOver\":0.1,"
                + "\"quotaSlack\":7400,\"requireFence\":true,\"leaseMs\":3000},\"platform\":{"
                + "\"address\":\"" + storeAddress + "\"}}");
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("MUSTARDDALE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + ".log").toFile());
            process = builder.start();
            instances.add(this);
            say(name + " started, process " + process.pid());
        }

        /** Waits until the instance says that it is ready. */
        void awaitReady() {
            for (int i = 0; i < 400; i++) {
                if (!process.isAlive()) throw new IllegalStateException(name + " has ended");
                if (isReady()) {
                    say(name + " is ready");
                    return;
                }
                sleep(50);
            }
            throw new IllegalStateException(name + " is not ready");
        }

        /** Whether the instance says that it is ready. */
        boolean isReady() {
            try (Http.Connection connection = Http.Connection.to(ready)) {
                connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                Http.Head head = connection.readHead();
                return head != null && head.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Kills the process with SIGKILL. */
        void kill() {
            process.destroyForcibly();
            say(name + " killed (SIGKILL)");
        }
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = \"")) continue;
            String command = line.substring("run = \"".length(), line.lastIndexOf('"'));
            return List.of(command.split(" "));
        }
        throw new IllegalStateException("the deploy file has no command");
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Ends all processes that the script has started, and deletes their files. */
    @Override
    public void close() {
        for (Instance instance : instances) {
            instance.process.destroyForcibly().onExit().join();
        }
        deleteAll(folder);
    }

    interface Script {
        int run(Lab lab) throws Exception;
    }

    /** Runs a script and exits with its verdict. */
    static void run(String recordFile, Script script) {
        int verdict = NOT_RUN;
        try (Lab lab = new Lab(recordFile)) {
            Http.daemon("limit", () -> {
                sleep(MAX_RUN_MS);
                lab.say("not run: it has taken longer than " + MAX_RUN_MS + " ms");
                System.exit(NOT_RUN);
            });
            try {
                verdict = script.run(lab);
            } catch (Exception | Error e) {
                lab.say("the case could not run: " + e);
            }
            lab.say(verdict == HELD ? "the rule held"
                : verdict == BROKEN ? "the rule was broken" : "not run");
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
            verdict = NOT_RUN;
        }
        System.exit(verdict);
    }

    private static void deleteAll(Path folder) {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.deleteIfExists(file);
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // It is gone already.
        }
    }
}
