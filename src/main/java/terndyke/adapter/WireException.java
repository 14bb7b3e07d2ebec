package terndyke.adapter;

/** Input that does not follow the wire; the message names what is wrong and where. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
