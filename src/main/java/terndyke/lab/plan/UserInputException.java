package terndyke.lab.plan;

import java.util.List;

/** Reports an invalid file or command-line option, with one line per error. */
public final class UserInputException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> errors;

    public UserInputException(List<String> faults) {
        super(String.join("\n", faults));
        this.errors = List.copyOf(faults);
    }

    public UserInputException(String fault) {
        this(List.of(fault));
    }

    public List<String> errors() {
        return errors;
    }
}
