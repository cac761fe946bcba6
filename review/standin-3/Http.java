import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A small HTTP/1.1 server and client on blocking sockets, with a thread for each connection. */
final class Http {
    /** The first line and the headers of a message; names are compared without case. */
    static final class Head {
        final String line;
        private final List<String[]> fields = new ArrayList<>();

        Head(String line) {
            this.line = line;
        }

        String get(String name) {
            for (String[] field : fields) {
                if (field[0].equalsIgnoreCase(name)) return field[1];
            }
            return null;
        }

        String get(String name, String other) {
            String value = get(name);
            return value == null ? other : value;
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** One connection with its buffered input. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection to(InetSocketAddress address) throws IOException {
            Socket socket = new Socket();
            socket.connect(address, 1_000);
            return new Connection(socket);
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Closes the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        /** Reads a line without its end; null at the end of the connection. */
        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int next = in.read();
                if (next < 0) {
                    if (line.size() == 0) return null;
                    throw new EOFException("the connection ended within a line");
                }
                if (next == '\n') break;
                if (next != '\r') line.write(next);
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        /** Reads a head; null if the connection has ended before it. */
        Head readHead() throws IOException {
            String first = readLine();
            if (first == null) return null;
            Head head = new Head(first);
            while (true) {
                String line = readLine();
                if (line == null) throw new EOFException("the connection ended within a head");
                if (line.isEmpty()) return head;
                int colon = line.indexOf(':');
                head.fields.add(new String[] {
                    line.substring(0, colon).trim(), line.substring(colon + 1).trim()
                });
            }
        }

        /** Reads the body of a request, or of a response that has a length or chunks. */
        byte[] readBody(Head head) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equals(head.get("transfer-encoding", "").toLowerCase(Locale.ROOT))) {
                while (true) {
                    byte[] chunk = readChunk();
                    if (chunk.length == 0) return body.toByteArray();
                    body.write(chunk);
                }
            }
            int length = Integer.parseInt(head.get("content-length", "0"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) throw new EOFException("the body ended early");
            return bytes;
        }

        /** Reads one chunk; an empty one is the last. */
        byte[] readChunk() throws IOException {
            String line = readLine();
            if (line == null) throw new EOFException("the body ended early");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) throw new EOFException("the body ended early");
            if (size > 0) {
                readLine();
                return chunk;
            }
            while (true) {
                String trailer = readLine();
                if (trailer == null || trailer.isEmpty()) return chunk;
            }
        }
    }

    interface Handler {
        /** Answers one request; false closes the connection. */
        boolean handle(Connection connection, Head head) throws Exception;
    }

    /** A server on a free port of a loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final List<Connection> open = new ArrayList<>();
        private volatile boolean isClosed;

        Server(String host, Handler handler) throws IOException {
            listener = new ServerSocket(0, 200, InetAddress.getByName(host));
            daemon("accept", () -> accept(handler));
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!isClosed) {
                try {
                    Connection connection = new Connection(listener.accept());
                    synchronized (open) {
                        open.add(connection);
                    }
                    daemon("connection", () -> serve(connection, handler));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Connection connection, Handler handler) {
            try (connection) {
                while (true) {
                    Head head = connection.readHead();
                    if (head == null || !handler.handle(connection, head)) return;
                }
            } catch (Exception e) {
                // The other side has gone.
            } finally {
                synchronized (open) {
                    open.remove(connection);
                }
            }
        }

        /** Stops listening and resets all connections, as the end of a process does. */
        @Override
        public void close() {
            isClosed = true;
            try {
                listener.close();
            } catch (IOException e) {
                // It is closed already.
            }
            resetAll();
        }

        /** Resets all connections. */
        void resetAll() {
            List<Connection> all;
            synchronized (open) {
                all = new ArrayList<>(open);
            }
            all.forEach(Connection::reset);
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String response(int status, String fields, byte[] body) {
        return "HTTP/1.1 " + status + " x\r\n" + fields + "Content-Length: " + body.length
            + "\r\n\r\n" + new String(body, StandardCharsets.ISO_8859_1);
    }

    private Http() {
    }
}
