/** Settings of a small deployment, in the form and with the names of the simulator's first message. */
final class Settings {
    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
    static final String SAFE_STATUS = "{\"name\":\"wagon-status\",\"target\":3.0,\"deadline\":28.0,\"semantics\":\"retryable\",\"group\":\"all\","
            + "\"points\":1.0,\"lateShare\":0.3,\"memorySpan\":28.0,\"stream\":false}";
    static final String UNSAFE_BOOKING = "{\"name\":\"slot-booking\",\"target\":2.5,\"deadline\":24.0,\"semantics\":\"fragile\",\"group\":\"all\","
            + "\"points\":3.0,\"lateShare\":0.4,\"memorySpan\":24.0,\"stream\":false}";
    static final String SAFE_NOTE = "{\"name\":\"yard-note\",\"target\":3.0,\"deadline\":28.0,\"semantics\":\"retryable\",\"group\":\"all\","
            + "\"points\":1.0,\"lateShare\":0.3,\"memorySpan\":28.0,\"stream\":false}";

    private Settings() { }

    /** The shape of plovdiv-yard: two halls, unrepeatable bookings, no second copies; discovery is "ask" or "push". */
    static String yard(String discovery, int slots, double drainGrace, boolean copies, boolean[] apart, String... classes) {
        return "{\"balancers\":2,\"rank\":0,\"zone\":0,\"dcs\":[\"hall-a\",\"hall-b\"],\"kinds\":[\"big-carriers\",\"hub-linked\"],"
                + "\"discovery\":\"" + discovery + "\",\"weightSource\":\"nominal\",\"resolution\":0.005,\"overShareWorth\":0.1,"
                + "\"domainType\":\"deliver\",\"countedBy\":\"request\",\"stage\":0,\"tiers\":[\"partner-systems\"],"
                + "\"familyInfo\":{\"callsOut\":" + slots + ",\"kindApart\":[" + apart[0] + "," + apart[1] + "],\"perCall\":[1,1],\"late\":\"by_half\","
                + "\"zoneFee\":[0.0,0.0],\"refusalCost\":0.05},"
                + "\"ceilings\":{\"maxOpen\":120,\"maxAttempts\":8,\"secondCopies\":" + copies + ",\"cancelling\":true,\"probes\":true,\"peers\":false,"
                + "\"retryAfter\":true,\"maxRetryAfter\":2.0,\"connectTimeout\":1.5,\"connIdle\":15.0,\"streamsPerConn\":1},"
                + "\"report\":{\"how\":\"off\",\"fields\":[]},"
                + "\"obligations\":{\"stopSendingWithin\":" + drainGrace + ",\"askEvery\":10.0,\"fallMultiple\":2.0,\"overloadFor\":3.0,"
                + "\"coldShare\":0.18,\"cold\":9.7,\"answerSlack\":0.02},"
                + "\"costs\":{\"crossZone\":0.0,\"handshake\":0.0,\"probe\":0.026,\"waste\":0.16,\"lateFail\":0.03},"
                + "\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":100.0,\"share\":1.0}],"
                + "\"classes\":[" + String.join(",", classes) + "]}";
    }
}
