package terndyke.api;

/** One entry of the list. Rate is what the list states of the endpoint's weight. */
public record ListedEndpoint(long endpoint, int zone, int kind, float rate, EndpointState state, long joined,
        int destination) {

    /** What the list says of an endpoint; it says nothing of health. */
    public enum EndpointState { READY, DRAINING, GONE }
}
