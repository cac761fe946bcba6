import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests as the platform's clients do, each on a new connection. */
final class Client {
    private static final AtomicInteger NUMBER = new AtomicInteger();

    /** The answer to one request; status 0 if the connection ended without one. */
    static final class Answer {
        String id;
        int status;
        boolean isComplete;
        String body = "";
        long tookMillis;
        Http.Head head;

        boolean isServed() {
            return status >= 200 && status < 300 && isComplete;
        }

        @Override
        public String toString() {
            return id + " -> " + (status == 0 ? "no answer" : String.valueOf(status))
                + (isComplete ? "" : " incomplete") + " in " + tookMillis + " ms";
        }
    }

    static String newId() {
        return String.format("%08x%08x", System.nanoTime() & 0xffffffffL,
            NUMBER.incrementAndGet());
    }

    /** Sends one request and reads its answer; gives up after the deadline and a half second. */
    static Answer send(int port, String method, String path, String headers, byte[] body,
            int deadlineMillis) {
        return send(port, method, path, headers, body, deadlineMillis, deadlineMillis + 500);
    }

    /** The same; the client leaves when nothing has come for [maxGapMillis]. */
    static Answer send(int port, String method, String path, String headers, byte[] body,
            int deadlineMillis, int maxGapMillis) {
        Answer answer = new Answer();
        answer.id = newId();
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(maxGapMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                + answer.id + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + headers
                + (body.length > 0 || method.equals("POST")
                    ? "Content-Length: " + body.length + "\r\n" : "")
                + "\r\n";
            Http.write(socket.getOutputStream(), head);
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head response = Http.readHead(in);
            if (response != null) {
                answer.head = response;
                answer.status = response.status();
                answer.body = new String(Http.readBody(in, response));
                answer.isComplete = true;
            }
        } catch (IOException e) {
            // The answer stays incomplete.
        }
        answer.tookMillis = (System.nanoTime() - start) / 1_000_000;
        return answer;
    }

    private Client() {
    }
}
