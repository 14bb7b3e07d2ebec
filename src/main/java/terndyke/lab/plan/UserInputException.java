package terndyke.lab.plan;

import java.util.List;

/** Reports an invalid file or command-line option, with one line per error. */
public final class UserInputException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> errors;

    public UserInputException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    public UserInputException(String error) {
        this(List.of(error));
    }

    public List<String> errors() {
        return errors;
    }
}
