package terndyke;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * A client as production has them: it keeps its connection, sends one request at a time, waits 400 ms for the answer, and sends a request once
 * more on a new connection if a connection that it has used before is closed instead of an answer.
 */
final class PersistentClient implements AutoCloseable {
    static final int ANSWER_TIMEOUT_MILLIS = 400;

    private Socket connection;

    /** What a client sees of a request. */
    enum Outcome {
        TAKEN, REFUSED, FAILED,
        /** No answer within 400 ms; the client has closed its connection. */
        SLOW,
        /** The connection was closed without an answer, on a new connection too: the request is lost. */
        CLOSED_UNANSWERED,
        /** The node accepts no connection. */
        DOWN
    }

    /** Submits a message with an empty body, or whatever the given request is; no answer is pending before and after. */
    Outcome submit(int port, String request) {
        for (int attempt = 0; attempt < 2; attempt++) {
            boolean newConnection = connection == null;
            if (newConnection && !connect(port)) {
                return Outcome.DOWN;
            }
            Outcome outcome = exchange(request.getBytes(StandardCharsets.ISO_8859_1));
            if (outcome != Outcome.CLOSED_UNANSWERED || newConnection) {
                return outcome;
            }
        }
        return Outcome.CLOSED_UNANSWERED;
    }

    private boolean connect(int port) {
        connection = new Socket();
        try {
            connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ANSWER_TIMEOUT_MILLIS);
            connection.setTcpNoDelay(true);
            connection.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            close();
            return false;
        }
    }

    private Outcome exchange(byte[] request) {
        try {
            connection.getOutputStream().write(request);
            String head = readHead(connection.getInputStream());
            if (head == null) {
                close();
                return Outcome.CLOSED_UNANSWERED;
            }
            if (head.contains("Connection: close")) {
                close();
            }
            return head.startsWith("HTTP/1.1 20") ? Outcome.TAKEN : head.startsWith("HTTP/1.1 503") ? Outcome.REFUSED : Outcome.FAILED;
        } catch (SocketTimeoutException e) {
            close();
            return Outcome.SLOW;
        } catch (IOException e) {
            close();
            return Outcome.CLOSED_UNANSWERED;
        }
    }

    /** Reads up to the end of the head; null if the connection ends before. The node's answers to messages have no body. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Override
    public void close() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // it is of no use any more
        }
        connection = null;
    }
}
