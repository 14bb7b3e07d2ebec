package terndyke;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

import terndyke.adapter.BenchAdapter;

/** The command line: one subcommand for each way to run terndyke. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar terndyke.jar COMMAND
              adapter   answer the bench's wire on standard input and output
              help      show this text""";

    private Main() { }

    public static void main(String[] arguments) {
        String command = arguments.length == 1 ? arguments[0] : "";
        switch (command) {
            case "adapter" -> System.exit(adapter());
            case "help" -> System.out.println(USAGE);
            default -> {
                System.err.println(USAGE);
                System.exit(64);
            }
        }
    }

    private static int adapter() {
        try {
            return new BenchAdapter().serve(new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out), System.err);
        } catch (IOException e) {
            System.err.println("terndyke: " + e.getMessage());
            return 1;
        }
    }
}
