import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What the scripts share: the store, instances as processes, the record and the verdict. */
final class Lab implements AutoCloseable {
    interface Action {
        void run() throws Exception;
    }

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long MAX_MILLIS = 115_000;
    private static final long START_NANOS = System.nanoTime();

    final Store store = new Store();
    final List<Instance> instances = new ArrayList<>();
    private final Path directory = Files.createTempDirectory("review-2-");
    private final PrintWriter record;

    Lab(String caseDirectory) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(
            Path.of(caseDirectory, "record.txt")), true);
        log("trouble " + TROUBLE);
    }

    /** The milliseconds since the start, on a steady clock. */
    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    /** Runs an action in a thread that ends with the process; errors of connections end it. */
    static Thread thread(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException | InterruptedException e) {
                // The connection, the listener or the script has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    synchronized void log(String text) {
        record.printf("%9.3f %s%n", nowMillis() / 1_000.0, text);
    }

    /** Runs a script and ends with 1 if it returns true, 0 if false and 2 if it fails. */
    static void run(String caseDirectory, Script script) {
        int code = 2;
        thread(() -> {
            Thread.sleep(MAX_MILLIS);
            System.err.println("the script has not ended in time");
            System.exit(2);
        });
        try (Lab lab = new Lab(caseDirectory)) {
            code = script.isBroken(lab) ? 1 : 0;
            lab.log("exit " + code);
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    interface Script {
        boolean isBroken(Lab lab) throws Exception;
    }

    Instance startInstance(String name) throws IOException {
        Instance instance = new Instance(name);
        instances.add(instance);
        return instance;
    }

    /** The name of the instance that leads by the newest leadership record. */
    String leader() {
        String newest = store.newest("leadership");
        if (newest == null) return null;
        String field = "\"instance\":\"";
        int start = newest.indexOf(field) + field.length();
        return newest.substring(start, newest.indexOf('"', start));
    }

    @Override
    public void close() throws IOException {
        for (Instance instance : instances) instance.kill();
        store.close();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(directory);
        record.close();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    /** An instance of the program, started with the command of the deploy file. */
    final class Instance {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        private final Process process;

        Instance(String name) throws IOException {
            this.name = name;
            Path settings = directory.resolve(name + ".json");
            Files.writeString(settings, settings());
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("MUSTARDDALE_CONFIG", settings.toString());
            process = builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile()).start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        private String settings() throws IOException {
            return """
                {"node":"%s","role":"entry","machineClass":"front","serves":["front","control"],
                "ip":"127.0.0.1","zone":"z1","region":"r1","portRange":[%d,%d],
                "bootstrap":true,"discovery":"platform","heartbeatMs":1200,
                "zones":{"z1":"r1"},"listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
                "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100},
                "bounds":{"addrReuseS":2,"stableWindowMs":3000,"ackMs":4000,"drainMs":2000,
                "graceS":8,"configApplyMs":2000,"retryBudgetRatio":0.2,"budgetWindowS":10,
                "budgetSlack":56,"quotaWindowS":8,"quotaOver":0.1,"quotaSlack":7400,
                "coldOver":1.5,"coldSlack":5,"evacMs":5000,"requireFence":true,"leaseMs":3000},
                "platform":{"address":"127.0.0.1:%d","form":"log","writesPerS":400,
                "readsPerS":2000}}
                """.formatted(name, freePort(), freePort(), front, ready, store.port());
        }

        private static List<String> command() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (!line.startsWith("run = \"")) continue;
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
            throw new IOException("deploy/system.toml has no command");
        }

        void awaitReady() throws Exception {
            long endMillis = nowMillis() + 30_000;
            while (true) {
                try (Client client = new Client(ready)) {
                    client.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                    if (client.readAnswer().status() == 200) return;
                } catch (IOException e) {
                    // It does not listen yet.
                }
                if (nowMillis() > endMillis || !process.isAlive()) {
                    throw new IOException(name + " is not ready");
                }
                Thread.sleep(50);
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    record Answer(int status, java.util.Map<String, String> headers, byte[] body) { }

    /** The client's side of one connection. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(30_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Reads an answer whose whole body has a length or chunks. */
        Answer readAnswer() throws IOException {
            HttpPort.Request parsed = HttpPort.read(in);
            if (parsed == null) throw new IOException("the connection was closed");
            return new Answer(Integer.parseInt(parsed.target()), parsed.headers(), parsed.body());
        }

        /** Returns the next line of the answer, null at the end of the connection. */
        String readLine() throws IOException {
            return HttpPort.line(in);
        }

        /** Waits until the connection has ended, or for the given time. */
        void awaitEnd(int millis) throws IOException {
            socket.setSoTimeout(millis);
            try {
                while (in.read() >= 0) {
                    // What else is answered doesn't matter.
                }
            } catch (java.net.SocketTimeoutException e) {
                // It is kept open.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
