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

/** Reads path=value settings into delivery terms, for the wire and for the node. Unknown keys are passed over. */
public final class TermsReader {
    private final Map<String, String> values;

    private TermsReader(Map<String, String> values) {
        this.values = values;
    }

    static DeliverySettings read(long seed, String text) throws WireException {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            if (line.isBlank()) {
                continue;
            }
            int equals = line.indexOf('=');
            if (equals <= 0) {
                throw new WireException("ATTACH: setting without '=': " + line.strip());
            }
            values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
        }
        return read(seed, values, false);
    }

    /** Reads settings that are flat already: a list of plain values is joined by commas. */
    public static DeliverySettings read(long seed, Map<String, String> values, boolean endsTold)
            throws WireException {
        return new TermsReader(values).terms(seed, endsTold);
    }

    private DeliverySettings terms(long seed, boolean endsTold) throws WireException {
        List<ServiceGrade> grades = new ArrayList<>();
        int count = whole("classes.count");
        for (int i = 0; i < count; i++) {
            grades.add(grade("classes." + i + "."));
        }
        List<Double> quotas = new ArrayList<>();
        int tenants = has("tenants.count") ? whole("tenants.count") : 0;
        for (int i = 0; i < tenants; i++) {
            quotas.add(number("tenants." + i + ".quotaPerS"));
        }
        List<String> reported = list("report.fields");
        return new DeliverySettings(seed, whole("balancers"), whole("rank"), whole("zone"), whole("familyInfo.callsOut"),
                whole("ceilings.maxOpen"), whole("ceilings.maxAttempts"), flag("ceilings.secondCopies"),
                flag("ceilings.cancelling"), flag("ceilings.probes"),
                flag("ceilings.retryAfter") ? micros("ceilings.maxRetryAfter", 0) : 0, choice("discovery", "push", "ask").equals("ask"),
                micros("obligations.askEvery", 0), listed(),
                has("familyInfo.late") && text("familyInfo.late").equals("by_half"), number("overShareWorth", 1),
                grades, quotas, items("familyInfo.kindApart", Boolean::valueOf),
                items("familyInfo.perCall", Integer::valueOf), reported.indexOf("x0"), reported.indexOf("x1"),
                micros("obligations.stopSendingWithin"), number("obligations.fallMultiple"),
                micros("obligations.overloadFor"), number("obligations.coldShare"), micros("obligations.cold"),
                micros("obligations.keyQuiet", 0), micros("obligations.answerSlack"), micros("resolution"),
                micros("ceilings.connIdle", 0), endsTold, fees(),
                price("costs.crossZone", 0), price("costs.handshake", 0));
    }

    private ListedRateAccuracy listed() throws WireException {
        return switch (choice("weightSource", "off", "rough", "nominal")) {
            case "off" -> ListedRateAccuracy.NONE;
            case "nominal" -> ListedRateAccuracy.EXACT;
            default -> ListedRateAccuracy.ROUGH;
        };
    }

    private String choice(String key, String... allowed) throws WireException {
        if (!List.of(allowed).contains(text(key))) {
            throw new WireException("ATTACH: setting " + key + " is " + text(key) + ", not one of " + String.join(", ", allowed));
        }
        return text(key);
    }

    private List<Double> fees() throws WireException {
        List<Double> fees = items("familyInfo.zoneFee", Double::valueOf);
        for (double fee : fees) {
            checkPrice("familyInfo.zoneFee", fee);
        }
        return fees;
    }

    private double price(String key, double absent) throws WireException {
        return checkPrice(key, number(key, absent));
    }

    private static double checkPrice(String key, double price) throws WireException {
        if (!(price >= 0 && price <= 1)) {
            throw new WireException("ATTACH: setting " + key + " is " + price + ", not a price from 0 to 1");
        }
        return price;
    }

    private ServiceGrade grade(String at) throws WireException {
        RepeatSemantics effect = switch (text(at + "semantics")) {
            case "retryable" -> RepeatSemantics.IDEMPOTENT;
            case "dedup" -> RepeatSemantics.DEDUPLICATED;
            case "fragile" -> RepeatSemantics.UNREPEATABLE;
            default -> throw new WireException("ATTACH: setting " + at + "semantics is " + text(at + "semantics"));
        };
        boolean any = has(at + "group") && text(at + "group").equals("all");
        return new ServiceGrade(effect, any, micros(at + "memorySpan", 0), flag(at + "serialByKey", false),
                micros(at + "target"), number(at + "aimStretch", 0), micros(at + "deadline"), number(at + "points"),
                number(at + "lateShare", 0));
    }

    private boolean has(String key) {
        return values.containsKey(key);
    }

    private String text(String key) throws WireException {
        String value = values.get(key);
        if (value == null) {
            throw new WireException("ATTACH: setting " + key + " is missing");
        }
        return value;
    }

    private double number(String key) throws WireException {
        try {
            return Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw new WireException("ATTACH: setting " + key + " is not a number: " + text(key));
        }
    }

    private double number(String key, double absent) throws WireException {
        return has(key) ? number(key) : absent;
    }

    private int whole(String key) throws WireException {
        return (int) number(key);
    }

    private long micros(String key) throws WireException {
        return Math.round(number(key) * 1e6);
    }

    private long micros(String key, long absent) throws WireException {
        return has(key) ? micros(key) : absent;
    }

    private boolean flag(String key) throws WireException {
        return Boolean.parseBoolean(text(key));
    }

    private boolean flag(String key, boolean absent) throws WireException {
        return has(key) ? flag(key) : absent;
    }

    private List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private <T> List<T> items(String key, Function<String, T> parse) throws WireException {
        List<T> parsed = new ArrayList<>();
        for (String item : list(key)) {
            try {
                parsed.add(parse.apply(item));
            } catch (NumberFormatException e) {
                throw new WireException("ATTACH: setting " + key + " holds " + item);
            }
        }
        return parsed;
    }
}
