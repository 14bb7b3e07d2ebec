package terndyke.node.discovery;

import terndyke.api.ListedEndpoint.EndpointState;

/**
 * An entry of discovery's list, with names where {@link terndyke.api.ListedEndpoint} has the numbers of this process run. The
 * address is null in an entry that leaves it as it was.
 */
public record ListEntry(String uid, String address, String zone, String kind, float rate, EndpointState state, long bootMillis,
        int destination) {

    /** The same entry in another state. */
    public ListEntry withState(EndpointState otherState) {
        return new ListEntry(uid, address, zone, kind, rate, otherState, bootMillis, destination);
    }

    /** The same entry with another address. */
    ListEntry withAddress(String otherAddress) {
        return new ListEntry(uid, otherAddress, zone, kind, rate, state, bootMillis, destination);
    }

    /** The same entry with another rate. */
    public ListEntry withRate(float otherRate) {
        return new ListEntry(uid, address, zone, kind, otherRate, state, bootMillis, destination);
    }
}
