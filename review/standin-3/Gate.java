import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy in front of an engine, which can cut off one process. The process that a connection comes
 * from is found by its socket, as all processes share the loopback address.
 */
final class Gate implements AutoCloseable {
    private final Http.Server server;
    private final InetSocketAddress target;
    private final Map<Http.Connection, Long> owners = new ConcurrentHashMap<>();
    private volatile long cutProcess = -1;

    Gate(String address) throws IOException {
        String[] parts = address.split(":");
        target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        server = Http.Server.raw("127.0.0.1", this::pass);
    }

    String address() {
        return server.address();
    }

    /** Resets the connections of the process {@code pid} and refuses new ones. */
    void cut(long pid) {
        cutProcess = pid;
        for (Map.Entry<Http.Connection, Long> entry : owners.entrySet()) {
            if (isOwner(pid, entry.getValue())) entry.getKey().reset();
        }
    }

    void heal() {
        cutProcess = -1;
    }

    private void pass(Http.Connection from) throws IOException {
        long inode = inodeOf(from.socket.getPort(), from.socket.getLocalPort());
        long cut = cutProcess;
        if (cut >= 0 && isOwner(cut, inode)) {
            from.reset();
            return;
        }
        owners.put(from, inode);
        Http.Connection to = Http.Connection.to(target);
        try {
            Thread back = Http.daemon("back", () -> {
                copy(to.in, from.out);
                // The engine has closed its side, or its process has ended.
                try {
                    from.socket.shutdownOutput();
                } catch (IOException e) {
                    // The other side has gone.
                }
            });
            copy(from.in, to.out);
            to.close();
            back.join(1_000);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } finally {
            to.close();
            owners.remove(from);
        }
    }

    private static void copy(InputStream in, OutputStream out) {
        byte[] buffer = new byte[16_384];
        try {
            int count;
            while ((count = in.read(buffer)) >= 0) {
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // One side has gone.
        }
    }

    /** Returns the inode of the socket with these ports at the other end, -1 if there is none. */
    private static long inodeOf(int localPort, int remotePort) throws IOException {
        String local = String.format(":%04X", localPort);
        String remote = String.format(":%04X", remotePort);
        List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
        if (Files.exists(Path.of("/proc/net/tcp6"))) {
            lines.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
        }
        for (String line : lines) {
            String[] fields = line.trim().split("\\s+");
            if (fields.length > 9 && fields[1].endsWith(local) && fields[2].endsWith(remote)) {
                return Long.parseLong(fields[9]);
            }
        }
        return -1;
    }

    private static boolean isOwner(long pid, long inode) {
        String wanted = "socket:[" + inode + "]";
        try (var files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return files.anyMatch(file -> {
                try {
                    return Files.readSymbolicLink(file).toString().equals(wanted);
                } catch (IOException e) {
                    return false;
                }
            });
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
