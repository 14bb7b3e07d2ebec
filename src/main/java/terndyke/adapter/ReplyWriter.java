package terndyke.adapter;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import terndyke.api.Action;

/** Encodes one reply frame. */
final class ReplyWriter {
    private static final int HEADER = 8;
    private static final int SIZE = 24;

    private ByteBuffer records = ByteBuffer.allocate(1 << 12);
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int at;

    void instance(int number) {
        next(7);
        records.putShort(at + 2, (short) number);
    }

    void crash(String text) {
        next(13);
        content(2, text.getBytes(StandardCharsets.UTF_8));
    }

    void action(Action action) {
        if (action instanceof Action.SendShot shoot) {
            next(6);
            records.putLong(at + 2, shoot.id());
            endpoint(10, shoot.endpoint());
            records.putDouble(at + 16, shoot.deadline() / 1e6);
        } else if (action instanceof Action.StartTimer wake) {
            next(8);
            records.putDouble(at + 2, wake.delay() / 1e6);
            records.putInt(at + 10, wake.token());
        } else if (action instanceof Action.Recall recall) {
            next(4);
            records.putLong(at + 2, recall.id());
            records.put(at + 10, (byte) recall.shotIndex());
        } else if (action instanceof Action.Bounce bounce) {
            next(12);
            records.putLong(at + 2, bounce.id());
            records.putDouble(at + 10, bounce.retryAfter() / 1e6);
        } else if (action instanceof Action.Terminate terminate) {
            next(3);
            records.putLong(at + 2, terminate.id());
        } else if (action instanceof Action.Probe probe) {
            next(10);
            endpoint(2, probe.endpoint());
        } else if (action instanceof Action.CloseIdleConnections drop) {
            next(11);
            endpoint(2, drop.endpoint());
        } else if (action instanceof Action.SendPeerMessage note) {
            next(9);
            records.putShort(at + 2, (short) note.peer());
            content(4, note.content());
        } else if (action instanceof Action.SetListSubscription follow) {
            next(5);
            records.put(at + 2, (byte) (follow.subscribed() ? 1 : 0));
        } else if (action instanceof Action.FetchList) {
            next(1);
        } else if (action instanceof Action.Log log) {
            next(2);
            content(2, log.text().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The frame of all that was added since the last one. */
    byte[] frame() {
        int body = records.position();
        ByteBuffer frame = ByteBuffer.allocate(HEADER + body + tail.size());
        frame.putInt(body / SIZE).putInt(frame.capacity()).put(records.array(), 0, body).put(tail.toByteArray());
        records.clear();
        tail.reset();
        return frame.array();
    }

    private void next(int code) {
        at = records.position();
        if (records.remaining() < SIZE) {
            records = ByteBuffer.allocate(2 * records.capacity()).put(records.array(), 0, at);
        }
        records.put(new byte[SIZE]);
        records.putShort(at, (short) code);
    }

    private void endpoint(int offset, long endpoint) {
        records.putInt(at + offset, (int) (endpoint >>> 16));
        records.putShort(at + offset + 4, (short) endpoint);
    }

    private void content(int offset, byte[] content) {
        records.putInt(at + offset, tail.size());
        records.putInt(at + offset + 4, content.length);
        tail.writeBytes(content);
    }
}
