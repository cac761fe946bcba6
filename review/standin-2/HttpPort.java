import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server on a loopback port; one thread serves each connection. */
final class HttpPort implements AutoCloseable {
    interface Handler {
        void handle(Request request, Connection connection) throws IOException;
    }

    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        String path() {
            return target.split("\\?", 2)[0];
        }

        String parameter(String name) {
            String[] parts = target.split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(
                        pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** The server's side of one connection. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            headers.put("Content-Length", Integer.toString(body.length));
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head(status, headers));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        void beginChunks(int status, Map<String, String> headers) throws IOException {
            headers.put("Transfer-Encoding", "chunked");
            out.write(head(status, headers));
            out.flush();
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream framed = new ByteArrayOutputStream();
            framed.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
            framed.write(bytes);
            framed.write("\r\n".getBytes());
            out.write(framed.toByteArray());
            out.flush();
        }

        void endChunks() throws IOException {
            out.write("0\r\n\r\n".getBytes());
            out.flush();
        }

        private static byte[] head(int status, Map<String, String> headers) {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
            return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private final Handler handler;
    private final int port;
    private ServerSocket listener;

    HttpPort(Handler handler) throws IOException {
        this(handler, 0);
    }

    HttpPort(Handler handler, int wantedPort) throws IOException {
        this.handler = handler;
        listener = bind(wantedPort);
        port = listener.getLocalPort();
        accept(listener);
    }

    int port() {
        return port;
    }

    /** Refuses new connections; open ones live on. */
    synchronized void refuseConnections() throws IOException {
        listener.close();
    }

    /** Accepts connections again. */
    synchronized void acceptConnections() throws IOException {
        listener = bind(port);
        accept(listener);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private static ServerSocket bind(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        return socket;
    }

    private void accept(ServerSocket socket) {
        Lab.thread(() -> {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                Lab.thread(() -> serve(accepted));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            while (true) {
                Request request = read(in);
                if (request == null) return;
                handler.handle(request, connection);
            }
        }
    }

    static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        String[] words = first.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).trim());
        }
        return new Request(words[0], words.length > 1 ? words[1] : "", headers, body(in, headers));
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        String length = headers.get("content-length");
        if (length != null) return in.readNBytes(Integer.parseInt(length));
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) return new byte[0];
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).trim(), 16);
            body.write(in.readNBytes(size));
            line(in);
            if (size == 0) return body.toByteArray();
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int value = in.read();
            if (value < 0) return bytes.size() == 0 ? null : bytes.toString();
            if (value == '\n') break;
            if (value != '\r') bytes.write(value);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
