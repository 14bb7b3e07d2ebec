package terndyke.lab.plan;

import java.util.List;

/** A file or an option that cannot be used; each fault is one line. */
public final class BadInput extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<String> faults;

    public BadInput(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    public BadInput(String fault) {
        this(List.of(fault));
    }

    public List<String> faults() {
        return faults;
    }
}
