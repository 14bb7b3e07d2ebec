package terndyke.api;

/** One entry of the list of endpoints; rate is the weight that the list states for the endpoint. */
public record ListedEndpoint(long endpoint, int zone, int kind, float rate, EndpointState state, long joined,
        int destination) {

    /** The state of an endpoint according to the list, which does not tell whether it is healthy. */
    public enum EndpointState { READY, DRAINING, GONE }
}
