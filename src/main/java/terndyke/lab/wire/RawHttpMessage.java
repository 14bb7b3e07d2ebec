package terndyke.lab.wire;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message: the words of its first line, its fields by lower-case name, its body. */
public record RawHttpMessage(String[] startLine, Map<String, String> headers, byte[] body) {

    public String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** A request's method. */
    public String method() {
        return startLine[0];
    }

    /** A request's target. */
    public String target() {
        return startLine[1];
    }

    /** An answer's status; 0 where it cannot be read. */
    public int status() {
        return startLine[1].matches("\\d{3}") ? Integer.parseInt(startLine[1]) : 0;
    }

    /** Bytes of a message of ours; the head has its fields with line ends, the body's length is added. */
    public static byte[] encode(String first, String fields, byte[] body) {
        byte[] head = (first + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }
}
