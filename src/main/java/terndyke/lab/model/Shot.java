package terndyke.lab.model;

/** One call as a receiver has it: read to its last byte. Whoever drives the model keeps what it needs behind it. */
public final class Shot {
    final String id;
    final String idempotencyKey;
    final int node;
    final Object connection;
    final boolean firstOnConnection;
    boolean callerDisconnected;

    public Shot(String id, String mark, int node, Object from, boolean firstOnConnection) {
        this.id = id;
        this.idempotencyKey = mark;
        this.node = node;
        this.connection = from;
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
