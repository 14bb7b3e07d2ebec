package terndyke.lab.wire;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message: the start line split at spaces, the headers by lower-case name, and the body. */
public record RawHttpMessage(String[] startLine, Map<String, String> headers, byte[] body) {

    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** The method, if the message is a request. */
    public String method() {
        return startLine[0];
    }

    /** The target, if the message is a request. */
    public String target() {
        return startLine[1];
    }

    /** The status code, if the message is a response; 0 if it is malformed. */
    public int status() {
        return startLine[1].matches("\\d{3}") ? Integer.parseInt(startLine[1]) : 0;
    }

    /** Encodes a message. Each of the given headers ends with CRLF; Content-Length is added. */
    public static byte[] encode(String startLineText, String headerLines, byte[] body) {
        byte[] head = (startLineText + "\r\n" + headerLines + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        return message;
    }
}
