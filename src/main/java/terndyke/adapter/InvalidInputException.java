package terndyke.adapter;

/** Input that does not follow the wire; the message names what is wrong and where. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message);
    }
}
