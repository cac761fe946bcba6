import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A minimal HTTP/1.1 parser and server on loopback, with one thread for each connection. */
final class Http {
    /** A message head: the first line, and the headers by their names in lower case. */
    static final class Head {
        String line = "";
        final Map<String, String> headers = new LinkedHashMap<>();

        String get(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
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

    /** Returns the next line without its end, null at the end of the input. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') break;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the next head, null if the connection has ended before it. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        String first = readLine(in);
        if (first == null || first.isEmpty()) return null;
        head.line = first;
        while (true) {
            String line = readLine(in);
            if (line == null) return null;
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.put(
                line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                line.substring(colon + 1).trim());
        }
    }

    /** Reads a body with a length or in chunks; throws EOFException if it ends early. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.get("transfer-encoding"))) {
            while (true) {
                String size = readLine(in);
                if (size == null) throw new EOFException("ended within a chunked body");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readFully(in, length));
                String end = readLine(in);
                if (end == null) throw new EOFException("ended within a chunked body");
                if (length == 0) return body.toByteArray();
            }
        }
        String length = head.get("content-length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("ended within a body");
        return bytes;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void respond(OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String head = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
            + "\r\n\r\n";
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    static void respondJson(OutputStream out, String status, String headers, String json)
            throws IOException {
        respond(out, status, "Content-Type: application/json\r\n" + headers,
            json.getBytes(StandardCharsets.UTF_8));
    }

    /** Handles one request; false closes the connection. */
    interface Handler {
        boolean handle(Socket socket, InputStream in, OutputStream out, Head head, byte[] body)
            throws Exception;
    }

    /** Serves requests until it is stopped. */
    static final class Server {
        final int port;
        private final ServerSocket listener;
        private final Handler handler;
        private final List<Socket> sockets = new ArrayList<>();

        Server(Handler handler) throws IOException {
            this(0, handler);
        }

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new java.net.InetSocketAddress(
                InetAddress.getLoopbackAddress(), port), 256);
            this.port = listener.getLocalPort();
            start("accept", this::accept);
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (sockets) {
                    sockets.add(socket);
                }
                start("connection", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Head head = readHead(in);
                    if (head == null) return;
                    byte[] body = readBody(in, head);
                    if (!handler.handle(socket, in, out, head, body)) return;
                }
            } finally {
                synchronized (sockets) {
                    sockets.remove(socket);
                }
            }
        }

        /** Stops the server; its connections end. */
        void stop() throws IOException {
            listener.close();
            synchronized (sockets) {
                for (Socket socket : sockets) socket.close();
            }
        }
    }

    /** A task that may fail with the end of a connection. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // A connection has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private Http() {
    }
}
