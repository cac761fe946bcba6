import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The clients of resumable streams, which take up a stream whose connection is lost. */
final class Streams {
    /** A client's stream, over all of its tries. */
    private static final class Stream {
        final String name;
        final Set<String> versions = new TreeSet<>();
        final List<String> servers = new ArrayList<>();
        int lastEvent;
        boolean isComplete;
        String firstRequest;

        Stream(String name) {
            this.name = name;
        }
    }

    private static final AtomicInteger REQUESTS = new AtomicInteger();

    private final Lab lab;
    private final int events;
    private final int deadlineMs;
    private final List<Stream> streams = new ArrayList<>();
    private final Map<Http.Connection, Lab.Instance> open = new ConcurrentHashMap<>();

    Streams(Lab lab, int events, int deadlineMs) {
        this.lab = lab;
        this.events = events;
        this.deadlineMs = deadlineMs;
    }

    /**
     * The operator's configuration: one route of resumable streams, and one service of engines
     * with {@code memoryMb} for {@code models}, each of 65 GB.
     */
    static String config(int slots, int targetMs, int memoryMb, String... models) {
        StringBuilder list = new StringBuilder();
        for (String model : models) {
            list.append(list.length() == 0 ? "" : ",").append("{\"name\":\"").append(model)
                .append("\",\"weightsMb\":65100.0,\"loadS\":1.2,\"adapters\":0,")
                .append("\"adapterMb\":12.0,\"warmS\":0.4,\"diskS\":0.8}");
        }
        return """
            {"version":1,"routes":[{"name":"batch","host":"yard.example","pathPrefix":"/batch/",
            "kind":"stream","timeoutMs":20000,"targetLatencyMs":TARGET,"priority":1,
            "service":"assistant","maxAttempts":2,"allowAnonymous":false,"sticky":true,
            "resumable":true,"gapAimMs":200}],"services":[{"name":"assistant",
            "healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
            "coldStartS":0.0,"coldPerS":0.0,"engine":{"slots":SLOTS,"kvTokens":125650,
            "weightsMb":MEMORY,"adapterSlots":8,"hostMb":150000.0,"diskMb":440000.0,
            "loadsPerS":1.6,"models":[MODELS]}}],"limits":{"maxHeaderBytes":16384,
            "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"yard","apiKeys":["key-1"],"priority":1,"unit":"tokens",
            "plainTokens":200,"ratePerS":900000,"burst":900000}]}"""
            .replace("\n", "")
            .replace("TARGET", "" + targetMs)
            .replace("SLOTS", "" + slots)
            .replace("MEMORY", "" + memoryMb)
            .replace("MODELS", list);
    }

    /** Starts a client; its tries go to {@code instances} in turn, later ones to the last. */
    Thread start(String name, List<Lab.Instance> instances) {
        Stream stream = new Stream(name);
        streams.add(stream);
        return Http.daemon(name, () -> {
            long leavesAt = lab.now() + deadlineMs;
            for (int attempt = 0; attempt < 4 && lab.now() < leavesAt; attempt++) {
                Lab.Instance target = instances.get(Math.min(attempt, instances.size() - 1));
                double waitS = attempt(stream, target, leavesAt - lab.now());
                if (stream.isComplete) return;
                if (waitS > 0) Lab.sleep((long) (waitS * 1_000));
            }
        });
    }

    /** Tries once; returns the seconds after which the client may come back, 0 for at once. */
    private double attempt(Stream stream, Lab.Instance target, long leftMs) {
        String request = String.format("%016x", 0x51a0000 + REQUESTS.incrementAndGet());
        String resumes = "";
        if (stream.lastEvent > 0) {
            resumes = "Last-Event-Id: " + stream.lastEvent + "\r\nResumes: " + stream.firstRequest
                + "\r\n";
        }
        lab.say(stream.name + " sends " + request + " to " + target.name
            + (resumes.isEmpty() ? "" : " to go on after event " + stream.lastEvent));
        Http.Connection opened = null;
        try (Http.Connection connection = Http.Connection.to(target.front)) {
            opened = connection;
            open.put(connection, target);
            String body = "{\"prompt\":\"" + stream.name + "\"}";
            connection.send("POST /batch/2f HTTP/1.1\r\nHost: yard.example\r\nRequest-Id: "
                + request + "\r\nModel: m6\r\nToken-Count: 700," + events * 7
                + "\r\nPrompt-Prefix: 5c1e07a2:600," + request.substring(8) + ":100\r\n"
                + "Deadline-Ms: " + leftMs + "\r\nAuthorization: Bearer key-1\r\n" + resumes
                + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            Http.Head head = connection.readHead();
            if (head == null) throw new IOException("closed");
            if (head.status() != 200) {
                connection.readBody(head);
                lab.say(stream.name + " gets " + head.status() + ", Retry-After "
                    + head.get("Retry-After"));
                return Double.parseDouble(head.get("Retry-After", "0"));
            }
            lab.say(stream.name + " gets 200, " + head.get("Server-Stamp"));
            readEvents(connection, stream, request);
        } catch (IOException e) {
            lab.say(stream.name + " loses its connection after event " + stream.lastEvent);
        } finally {
            if (opened != null) open.remove(opened);
        }
        return 0;
    }

    /** Resets every second connection of the clients to {@code instance}. */
    void resetConnections(Lab.Instance instance) {
        List<Http.Connection> connections = new ArrayList<>();
        open.forEach((connection, target) -> {
            if (target == instance) connections.add(connection);
        });
        for (int i = 0; i < connections.size(); i += 2) connections.get(i).reset();
        lab.say((connections.size() + 1) / 2 + " of " + connections.size()
            + " connections of clients to " + instance.name + " are reset");
    }

    private void readEvents(Http.Connection connection, Stream stream, String request)
            throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            byte[] chunk = connection.readChunk();
            if (chunk.length == 0) {
                stream.isComplete = stream.lastEvent == events;
                return;
            }
            text.append(new String(chunk));
            int end;
            while ((end = text.indexOf("\n\n")) >= 0) {
                String[] lines = text.substring(0, end).split("\n");
                text.delete(0, end + 2);
                int id = Integer.parseInt(lines[0].substring("id: ".length()));
                String[] words = lines[1].split(" ");
                if (stream.firstRequest == null) stream.firstRequest = request;
                stream.lastEvent = id;
                if (stream.versions.add(words[1]) && stream.versions.size() > 1) {
                    lab.say(stream.name + " gets event " + id + " of version " + words[1]
                        + " behind events of another version");
                }
                if (!stream.servers.contains(words[2])) stream.servers.add(words[2]);
            }
        }
    }

    /** Writes what each client got, and judges by the rule. */
    int verdict() {
        int mixed = 0;
        int complete = 0;
        for (Stream stream : streams) {
            if (stream.versions.size() > 1) mixed++;
            if (stream.isComplete) complete++;
            lab.say(stream.name + ": " + stream.lastEvent + " events of " + stream.versions
                + " by " + stream.servers + (stream.isComplete ? ", complete" : ", incomplete"));
        }
        lab.say(streams.size() + " streams, " + complete + " complete, " + mixed
            + " with events of two software versions; the rule allows 2");
        if (complete == 0) return Lab.NOT_RUN;
        return mixed > 2 ? Lab.BROKEN : Lab.HELD;
    }
}
