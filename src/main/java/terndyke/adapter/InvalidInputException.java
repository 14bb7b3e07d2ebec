package terndyke.adapter;

/** Thrown for frames that violate the simulator protocol and for invalid settings; the message says what is wrong and where. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message);
    }
}
