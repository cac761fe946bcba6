import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the system, started with the command of the deploy file. */
final class Instance {
    static final List<Instance> STARTED = new ArrayList<>();
    /** Below the ports that the kernel gives to outgoing connections. */
    private static int nextPort = 21_000 + (int) (ProcessHandle.current().pid() % 80) * 100;

    final String name;
    final int front;
    final int ready;
    private final int peer;
    private final int metrics;
    private final Path folder;
    private final int storePort;
    private final String bounds;
    private Process process;

    Instance(String name, Path folder, int storePort, String bounds) throws IOException {
        this.name = name;
        this.folder = folder;
        this.storePort = storePort;
        this.bounds = bounds;
        front = freePort();
        ready = freePort();
        peer = freePort();
        metrics = freePort();
    }

    static synchronized int freePort() {
        while (true) {
            nextPort++;
            try {
                new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress()).close();
                return nextPort;
            } catch (IOException e) {
                // The port is taken.
            }
        }
    }

    /** Settings as the platform's template makes them, with the fields of its page. */
    private String settings() {
        return "{\"node\":\"" + name + "\",\"role\":\"entry\",\"machineClass\":\"front\","
            + "\"serves\":[\"front\",\"control\"],\"ip\":\"127.0.0.1\",\"zone\":\"z1\","
            + "\"region\":\"r1\",\"portRange\":[" + peer + "," + metrics + "],\"seeds\":[],"
            + "\"bootstrap\":true,\"faultCounted\":false,\"discovery\":\"platform\","
            + "\"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\","
            + "\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\","
            + "\"tenants\",\"quota\",\"places\",\"platform\"],\"zones\":{\"z1\":\"r1\"},"
            + "\"listen\":{\"front\":\"127.0.0.1:" + front + "\",\"ready\":\"127.0.0.1:" + ready
            + "\",\"control\":\"127.0.0.1:" + freePort() + "\"},"
            + "\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":430,\"maxFds\":4100,"
            + "\"linkMbps\":1000.0,\"diskMb\":0},\"faultTolerance\":{\"machines\":2,\"zones\":1,"
            + "\"regions\":0},\"bounds\":" + bounds + ",\"platform\":{\"address\":\"127.0.0.1:"
            + storePort + "\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,"
            + "\"parts\":12,\"appendMs\":2.0,\"partMbS\":20.0,\"readMbS\":80.0,"
            + "\"recordBytes\":262144,\"callBytes\":2097152,\"keep_s\":300,\"partMb\":200,"
            + "\"ttlMinMs\":1000}}";
    }

    /** The words of the command in the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    void start() throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings());
        ProcessBuilder builder = new ProcessBuilder(command());
        List<String> kept = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
        builder.environment().keySet().retainAll(kept);
        builder.environment().put("MUSTARDDALE_CONFIG", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        synchronized (STARTED) {
            if (!STARTED.contains(this)) STARTED.add(this);
        }
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Asks the instance whether it is ready, as the platform does. */
    boolean isReady() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ready)) {
            socket.setSoTimeout(1_000);
            Http.write(socket.getOutputStream(),
                "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the lines that the processes of this instance have written. */
    List<String> log() throws IOException {
        if (!Files.exists(folder.resolve(name + ".log"))) return List.of();
        return Files.readAllLines(folder.resolve(name + ".log"));
    }

    static void killAll() {
        synchronized (STARTED) {
            for (Instance instance : STARTED) {
                if (instance.process != null) instance.process.destroyForcibly();
            }
        }
    }
}
