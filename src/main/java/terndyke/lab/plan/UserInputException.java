package terndyke.lab.plan;

import java.util.List;

/** A file or an option that cannot be used; each fault is one line. */
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
