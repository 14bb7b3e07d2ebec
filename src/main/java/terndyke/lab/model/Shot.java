package terndyke.lab.model;

/** One call that a receiver has read completely. The connection is opaque to the model and serves the code that drives it. */
public final class Shot {
    final String id;
    final String idempotencyKey;
    final int node;
    final Object connection;
    final boolean firstOnConnection;
    boolean callerDisconnected;

    public Shot(String id, String idempotencyKey, int node, Object connection, boolean firstOnConnection) {
        this.id = id;
        this.idempotencyKey = idempotencyKey;
        this.node = node;
        this.connection = connection;
        this.firstOnConnection = firstOnConnection;
    }

    public String id() {
        return id;
    }

    public String idempotencyKey() {
        return idempotencyKey;
    }

    public int node() {
        return node;
    }

    public Object connection() {
        return connection;
    }
}
