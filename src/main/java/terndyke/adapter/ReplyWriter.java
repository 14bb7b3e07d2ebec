package terndyke.adapter;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import terndyke.api.Action;

/** Encodes reply frames: a header, actions of a fixed size, and a tail with the texts and messages they refer to. */
final class ReplyWriter {
    private static final int HEADER_BYTES = 8;
    private static final int ACTION_BYTES = 24;

    private ByteBuffer actionBuffer = ByteBuffer.allocate(1 << 12);
    private final ByteArrayOutputStream tailBytes = new ByteArrayOutputStream();
    private int actionOffset;

    /** Starts the part of the frame that belongs to an instance: the actions up to the next call are its own. */
    void writeInstance(int instance) {
        beginAction(7);
        actionBuffer.putShort(actionOffset + 2, (short) instance);
    }

    /** Reports that the instance failed with an exception. */
    void writeCrash(String text) {
        beginAction(13);
        writeContent(2, text.getBytes(StandardCharsets.UTF_8));
    }

    void writeAction(Action action) {
        if (action instanceof Action.SendShot sendShot) {
            beginAction(6);
            actionBuffer.putLong(actionOffset + 2, sendShot.id());
            writeEndpoint(10, sendShot.endpoint());
            actionBuffer.putDouble(actionOffset + 16, sendShot.deadline() / 1e6);
        } else if (action instanceof Action.StartTimer startTimer) {
            beginAction(8);
            actionBuffer.putDouble(actionOffset + 2, startTimer.delay() / 1e6);
            actionBuffer.putInt(actionOffset + 10, startTimer.token());
        } else if (action instanceof Action.Recall recall) {
            beginAction(4);
            actionBuffer.putLong(actionOffset + 2, recall.id());
            actionBuffer.put(actionOffset + 10, (byte) recall.shotIndex());
        } else if (action instanceof Action.Bounce bounce) {
            beginAction(12);
            actionBuffer.putLong(actionOffset + 2, bounce.id());
            actionBuffer.putDouble(actionOffset + 10, bounce.retryAfter() / 1e6);
        } else if (action instanceof Action.Terminate terminate) {
            beginAction(3);
            actionBuffer.putLong(actionOffset + 2, terminate.id());
        } else if (action instanceof Action.Probe probe) {
            beginAction(10);
            writeEndpoint(2, probe.endpoint());
        } else if (action instanceof Action.CloseIdleConnections closeIdle) {
            beginAction(11);
            writeEndpoint(2, closeIdle.endpoint());
        } else if (action instanceof Action.SendPeerMessage peerMessage) {
            beginAction(9);
            actionBuffer.putShort(actionOffset + 2, (short) peerMessage.peer());
            writeContent(4, peerMessage.content());
        } else if (action instanceof Action.SetListSubscription subscription) {
            beginAction(5);
            actionBuffer.put(actionOffset + 2, (byte) (subscription.subscribed() ? 1 : 0));
        } else if (action instanceof Action.FetchList) {
            beginAction(1);
        } else if (action instanceof Action.Log log) {
            beginAction(2);
            writeContent(2, log.text().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Returns the frame of all actions written since the last call, and starts the next one. */
    byte[] finishFrame() {
        int actionBytes = actionBuffer.position();
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + actionBytes + tailBytes.size());
        frame.putInt(actionBytes / ACTION_BYTES).putInt(frame.capacity()).put(actionBuffer.array(), 0, actionBytes)
                .put(tailBytes.toByteArray());
        actionBuffer.clear();
        tailBytes.reset();
        return frame.array();
    }

    private void beginAction(int code) {
        actionOffset = actionBuffer.position();
        if (actionBuffer.remaining() < ACTION_BYTES) {
            actionBuffer = ByteBuffer.allocate(2 * actionBuffer.capacity()).put(actionBuffer.array(), 0, actionOffset);
        }
        actionBuffer.put(new byte[ACTION_BYTES]);
        actionBuffer.putShort(actionOffset, (short) code);
    }

    private void writeEndpoint(int offset, long endpoint) {
        actionBuffer.putInt(actionOffset + offset, (int) (endpoint >>> 16));
        actionBuffer.putShort(actionOffset + offset + 4, (short) endpoint);
    }

    private void writeContent(int offset, byte[] content) {
        actionBuffer.putInt(actionOffset + offset, tailBytes.size());
        actionBuffer.putInt(actionOffset + offset + 4, content.length);
        tailBytes.writeBytes(content);
    }
}
