package terndyke.lab.model;

/** One call as a receiver has it: read to its last byte. Whoever drives the model keeps what it needs behind it. */
public final class Shot {
    final String id;
    final String mark;
    final int node;
    final Object from;
    final boolean firstOnConnection;
    boolean gone;

    public Shot(String id, String mark, int node, Object from, boolean firstOnConnection) {
        this.id = id;
        this.mark = mark;
        this.node = node;
        this.from = from;
        this.firstOnConnection = firstOnConnection;
    }

    public String id() {
        return id;
    }

    public String mark() {
        return mark;
    }

    public int node() {
        return node;
    }

    public Object from() {
        return from;
    }
}
