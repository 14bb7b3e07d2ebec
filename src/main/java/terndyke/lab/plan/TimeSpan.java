package terndyke.lab.plan;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** A time span written as 250ms, 1.5s or 2m and stored in whole microseconds. */
public record TimeSpan(long micros) implements Comparable<TimeSpan> {
    public static final TimeSpan ZERO = new TimeSpan(0);
    private static final Pattern FORMAT = Pattern.compile("(\\d+(?:\\.\\d+)?)(us|ms|s|m)");

    @JsonCreator
    public static TimeSpan of(String text) {
        Matcher parts = FORMAT.matcher(text);
        if (!parts.matches()) {
            throw new IllegalArgumentException(text + " is not a time such as 250ms, 1.5s or 2m");
        }
        long unit = switch (parts.group(2)) {
            case "us" -> 1;
            case "ms" -> 1_000;
            case "s" -> 1_000_000;
            default -> 60_000_000;
        };
        return new TimeSpan(new BigDecimal(parts.group(1)).multiply(BigDecimal.valueOf(unit)).longValue());
    }

    public static TimeSpan ofMillis(long millis) {
        return new TimeSpan(millis * 1000);
    }

    public double seconds() {
        return micros / 1e6;
    }

    public long millis() {
        return micros / 1000;
    }

    @JsonValue
    @Override
    public String toString() {
        return micros % 1_000_000 == 0 ? micros / 1_000_000 + "s"
                : micros % 1_000 == 0 ? micros / 1_000 + "ms" : micros + "us";
    }

    @Override
    public int compareTo(TimeSpan other) {
        return Long.compare(micros, other.micros);
    }
}
