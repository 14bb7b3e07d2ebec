package terndyke.adapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import terndyke.api.DeliverySettings;
import terndyke.api.DeliverySettings.ListedRateAccuracy;
import terndyke.api.ServiceGrade;
import terndyke.api.ServiceGrade.RepeatSemantics;

/** Reads delivery settings from flat path=value pairs, for the simulator adapter and for the node. Ignores unknown keys. */
public final class DeliverySettingsReader {
    private final Map<String, String> settings;

    private DeliverySettingsReader(Map<String, String> values) {
        this.settings = values;
    }

    static DeliverySettings read(long seed, String text) throws InvalidInputException {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            int equals = line.indexOf('=');
            if (equals <= 0) {
                throw new InvalidInputException("ATTACH: setting without '=': " + line.strip());
            }
            values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
        }
        return read(seed, values, false);
    }

    /**
     * Reads settings from a map of paths to values, where a list of plain values is joined by commas. The flag says whether
     * the node reports when a final answer has been delivered.
     */
    public static DeliverySettings read(long seed, Map<String, String> values, boolean reportsFinalAnswerDelivery)
            throws InvalidInputException {
        return new DeliverySettingsReader(values).readDeliverySettings(seed, reportsFinalAnswerDelivery);
    }

    private DeliverySettings readDeliverySettings(long seed, boolean reportsFinalAnswerDelivery) throws InvalidInputException {
        List<ServiceGrade> grades = new ArrayList<>();
        int gradeCount = readInteger("classes.count");
        for (int i = 0; i < gradeCount; i++) {
            grades.add(readGrade("classes." + i + "."));
        }
        List<Double> quotas = new ArrayList<>();
        int tenantCount = hasSetting("tenants.count") ? readInteger("tenants.count") : 0;
        for (int i = 0; i < tenantCount; i++) {
            quotas.add(readNumber("tenants." + i + ".quotaPerS"));
        }
        List<String> reportFields = readList("report.fields");
        return new DeliverySettings(seed, readInteger("balancers"), readInteger("rank"), readInteger("zone"),
                readInteger("familyInfo.callsOut"),
                readInteger("ceilings.maxOpen"), readInteger("ceilings.maxAttempts"), readBoolean("ceilings.secondCopies"),
                readBoolean("ceilings.cancelling"), readBoolean("ceilings.probes"),
                readBoolean("ceilings.retryAfter") ? readSecondsAsMicros("ceilings.maxRetryAfter", 0) : 0,
                readChoice("discovery", "push", "ask").equals("ask"),
                readSecondsAsMicros("obligations.askEvery", 0), readListedRates(),
                hasSetting("familyInfo.late") && readText("familyInfo.late").equals("by_half"), readNumber("overShareWorth", 1),
                grades, quotas, readParsedList("familyInfo.kindApart", Boolean::valueOf),
                readParsedList("familyInfo.perCall", Integer::valueOf), reportFields.indexOf("x0"), reportFields.indexOf("x1"),
                readSecondsAsMicros("obligations.stopSendingWithin"), readNumber("obligations.fallMultiple"),
                readSecondsAsMicros("obligations.overloadFor"), readNumber("obligations.coldShare"),
                readSecondsAsMicros("obligations.cold"),
                readSecondsAsMicros("obligations.keyQuiet", 0), readSecondsAsMicros("obligations.answerSlack"),
                readSecondsAsMicros("resolution"),
                readSecondsAsMicros("ceilings.connIdle", 0), reportsFinalAnswerDelivery, readHallFees(),
                readPrice("costs.crossZone", 0), readPrice("costs.handshake", 0));
    }

    private ListedRateAccuracy readListedRates() throws InvalidInputException {
        return switch (readChoice("weightSource", "off", "rough", "nominal")) {
            case "off" -> ListedRateAccuracy.NONE;
            case "nominal" -> ListedRateAccuracy.EXACT;
            default -> ListedRateAccuracy.ROUGH;
        };
    }

    private String readChoice(String key, String... allowed) throws InvalidInputException {
        if (!List.of(allowed).contains(readText(key))) {
            throw new InvalidInputException("ATTACH: setting " + key + " is " + readText(key) + ", not one of "
                    + String.join(", ", allowed));
        }
        return readText(key);
    }

    private List<Double> readHallFees() throws InvalidInputException {
        List<Double> fees = readParsedList("familyInfo.zoneFee", Double::valueOf);
        for (double fee : fees) {
            checkPrice("familyInfo.zoneFee", fee);
        }
        return fees;
    }

    private double readPrice(String key, double defaultValue) throws InvalidInputException {
        return checkPrice(key, readNumber(key, defaultValue));
    }

    private static double checkPrice(String key, double price) throws InvalidInputException {
        if (!(price >= 0 && price <= 1)) {
            throw new InvalidInputException("ATTACH: setting " + key + " is " + price + ", not a price from 0 to 1");
        }
        return price;
    }

    private ServiceGrade readGrade(String prefix) throws InvalidInputException {
        RepeatSemantics repeatSemantics = switch (readText(prefix + "semantics")) {
            case "retryable" -> RepeatSemantics.IDEMPOTENT;
            case "dedup" -> RepeatSemantics.DEDUPLICATED;
            case "fragile" -> RepeatSemantics.UNREPEATABLE;
            default -> throw new InvalidInputException("ATTACH: setting " + prefix + "semantics has the unknown value "
                    + readText(prefix + "semantics"));
        };
        boolean anyEndpointDeduplicates = hasSetting(prefix + "group") && readText(prefix + "group").equals("all");
        return new ServiceGrade(repeatSemantics, anyEndpointDeduplicates, readSecondsAsMicros(prefix + "memorySpan", 0),
                readBoolean(prefix + "serialByKey", false), readSecondsAsMicros(prefix + "target"),
                readNumber(prefix + "aimStretch", 0), readSecondsAsMicros(prefix + "deadline"),
                readNumber(prefix + "points"), readNumber(prefix + "lateShare", 0));
    }

    private boolean hasSetting(String key) {
        return settings.containsKey(key);
    }

    private String readText(String key) throws InvalidInputException {
        String value = settings.get(key);
        if (value == null) {
            throw new InvalidInputException("ATTACH: setting " + key + " is missing");
        }
        return value;
    }

    private double readNumber(String key) throws InvalidInputException {
        try {
            return Double.parseDouble(readText(key));
        } catch (NumberFormatException e) {
            throw new InvalidInputException("ATTACH: setting " + key + " is not a number: " + readText(key));
        }
    }

    private double readNumber(String key, double defaultValue) throws InvalidInputException {
        return hasSetting(key) ? readNumber(key) : defaultValue;
    }

    private int readInteger(String key) throws InvalidInputException {
        return (int) readNumber(key);
    }

    private long readSecondsAsMicros(String key) throws InvalidInputException {
        return Math.round(readNumber(key) * 1e6);
    }

    private long readSecondsAsMicros(String key, long defaultValue) throws InvalidInputException {
        return hasSetting(key) ? readSecondsAsMicros(key) : defaultValue;
    }

    private boolean readBoolean(String key) throws InvalidInputException {
        return Boolean.parseBoolean(readText(key));
    }

    private boolean readBoolean(String key, boolean defaultValue) throws InvalidInputException {
        return hasSetting(key) ? readBoolean(key) : defaultValue;
    }

    private List<String> readList(String key) {
        String value = settings.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private <T> List<T> readParsedList(String key, Function<String, T> parse) throws InvalidInputException {
        List<T> parsed = new ArrayList<>();
        for (String item : readList(key)) {
            try {
                parsed.add(parse.apply(item));
            } catch (NumberFormatException e) {
                throw new InvalidInputException("ATTACH: setting " + key + " has the invalid item " + item);
            }
        }
        return parsed;
    }
}
