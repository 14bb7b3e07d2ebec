package terndyke;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** A server on loopback that answers each request with exactly the given bytes; it uses one thread per connection. */
final class RawServer implements AutoCloseable {
    private static final int BACKLOG = 64;

    private final ServerSocket serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Function<Request, Response> responder;

    /** A complete request, and the number of requests that preceded it on its connection. */
    record Request(String path, Map<String, String> headers, String body, int precedingRequests) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** The bytes of an answer (none: no answer), and whether the connection is then closed in an orderly way, by a FIN. */
    record Response(String bytes, boolean closesConnection) {
        static final Response NO_RESPONSE = new Response("", false);

        static Response complete(String bytes) {
            return new Response(bytes, false);
        }

        static Response truncated(String response, int length) {
            return new Response(response.substring(0, length), true);
        }

        static Response json(String content) {
            return complete("HTTP/1.1 200 OK\r\nContent-Length: " + content.length() + "\r\n\r\n" + content);
        }
    }

    RawServer(Function<Request, Response> responder) throws IOException {
        this.responder = responder;
        startDaemon(this::acceptConnections);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket connection = serverSocket.accept();
                connections.add(connection);
                startDaemon(() -> serveConnection(connection));
            }
        } catch (IOException e) {
            // the server has been closed
        }
    }

    private void serveConnection(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = connection.getInputStream();
            for (int precedingRequests = 0;; precedingRequests++) {
                Request request = readRequest(in, precedingRequests);
                if (request == null) {
                    return;
                }
                Response answer = responder.apply(request);
                connection.getOutputStream().write(answer.bytes().getBytes(StandardCharsets.ISO_8859_1));
                if (answer.closesConnection()) {
                    connection.shutdownOutput();
                    in.transferTo(OutputStream.nullOutputStream()); // read to the end, so that no reset destroys the answer
                    return;
                }
            }
        } catch (IOException e) {
            // the client has disconnected
        } finally {
            connections.remove(connection);
        }
    }

    private static Request readRequest(InputStream in, int precedingRequests) throws IOException {
        String requestLine = readLine(in);
        if (requestLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            String[] nameAndValue = line.split(":", 2);
            headers.put(nameAndValue[0].toLowerCase(Locale.ROOT), nameAndValue[1].strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(requestLine.split(" ")[1], headers,
                new String(in.readNBytes(length), StandardCharsets.ISO_8859_1), precedingRequests);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
