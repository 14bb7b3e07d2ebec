package terndyke.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;

import org.junit.jupiter.api.Test;

import terndyke.adapter.BatchReader.InstanceInput;
import terndyke.api.Action;
import terndyke.api.Event;
import terndyke.api.ListedEndpoint;
import terndyke.api.ListedEndpoint.EndpointState;

/** Checks the binary frames of the simulator adapter byte by byte, and its messages on malformed input. */
class SimulatorProtocolTest {
    private static byte[] parseHex(String hex) {
        return HexFormat.of().parseHex(hex.replaceAll("\\s", ""));
    }

    private static String padHex(String hex, int size) {
        String packed = hex.replaceAll("\\s", "");
        return packed + "00".repeat(size - packed.length() / 2);
    }

    private static List<InstanceInput> readInputs(String... events) throws InvalidInputException {
        ByteBuffer frame = ByteBuffer.allocate(16 + 48 * events.length);
        frame.putInt(frame.capacity()).putDouble(8.0).putInt(events.length);
        for (String event : events) {
            frame.put(parseHex(padHex(event, 48)));
        }
        return new BatchReader().read(frame).inputs();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws InvalidInputException {
        byte[] reply = new SimulatorAdapter().processFrame(parseHex("00000010 4020d3126e978d50 00000000"));
        assertEquals("0000000000000008", HexFormat.of().formatHex(reply));
    }

    @Test
    void aRecordIsReadFieldByField() throws InvalidInputException {
        Event event = readInputs("000c 0003", "0003 000a3d985d3a91c4 0000 00000000 91f03b7c55d20a64 3fceb851eb851eb8"
                + "3f889374bc6a7efa 42640000 01").get(0).event();
        assertEquals(new Event.RecordAccepted(0x000a3d985d3a91c4L, 0, 0, 0x91f03b7c55d20a64L, 240_000, 12_000, 57, false,
                false, false), event);
    }

    @Test
    void anOutcomeIsReadFieldByField() throws InvalidInputException {
        Event.ShotEnded ended = (Event.ShotEnded) readInputs("000c 0003", "0005 000a3d985d3a91c4 0a124a07 138b"
                + "3f92f1a9fbe76c8b 000000fa 02 03 01 02 3f800000 40000000").get(0).event();
        assertEquals(0x0a124a07138bL, ended.endpoint());
        assertEquals(250_000, ended.retryAfter());
        assertEquals(3, ended.shotIndex());
        assertEquals(18_500, ended.elapsed());
        assertTrue(ended.recordEnded());
        assertEquals(2f, ended.loadReport()[1]);
    }

    @Test
    void listNumberRefersToTheLatestListOfThatNumber() throws InvalidInputException {
        String entries = "0a124a07 138b 00 00 3f800000 01 0000000000000000 0039"
                + "0a9011f2 13b4 01 00 3fc00000 02 4018666666666666 0039";
        byte[] tail = parseHex(entries);
        ByteBuffer frame = ByteBuffer.allocate(16 + 3 * 48 + tail.length);
        frame.putInt(frame.capacity()).putDouble(8.0).putInt(3);
        frame.put(parseHex(padHex("000b 00 00000000 00000002", 48))).put(parseHex(padHex("000c 0003", 48)));
        frame.put(parseHex(padHex("0002 0000000000000029 00 01", 48))).put(tail);
        Event.ListReceived list = (Event.ListReceived) new BatchReader().read(frame).inputs().get(0).event();
        assertTrue(list.complete());
        assertEquals(new ListedEndpoint(0x0a9011f213b4L, 1, 0, 1.5f, EndpointState.DRAINING, 6_100_000, 57),
                list.entries().get(1));
    }

    @Test
    void actionsAreWrittenByteForByte() {
        ReplyWriter writer = new ReplyWriter();
        writer.writeInstance(3);
        writer.writeAction(new Action.SendShot(0x000a3d985d3a91c4L, 0x0a124a07138bL, 8_123_000, Long.MAX_VALUE));
        writer.writeAction(new Action.StartTimer(500_000, 0x4d));
        writer.writeAction(new Action.Log("two servers known"));
        writer.writeAction(new Action.Bounce(7, 500_000));
        writer.writeAction(new Action.Terminate(7));
        writer.writeAction(new Action.Recall(7, 2));
        writer.writeAction(new Action.Probe(0x0a124a07138bL));
        String expected = "00000008 000000d9" + padHex("0007 0003", 24)
                + "0006 000a3d985d3a91c4 0a124a07 138b 40203ef9db22d0e5" + padHex("0008 3fe0000000000000 0000004d", 24)
                + padHex("0002 00000000 00000011", 24) + padHex("000c 0000000000000007 3fe0000000000000", 24)
                + padHex("0003 0000000000000007", 24) + padHex("0004 0000000000000007 02", 24)
                + padHex("000a 0a124a07 138b", 24) + "74776f2073657276657273206b6e6f776e";
        assertEquals(expected.replaceAll("\\s", ""), HexFormat.of().formatHex(writer.finishFrame()));
    }

    @Test
    void unknownEventCodeIsNamedInTheError() {
        assertTrue(assertThrows(InvalidInputException.class, () -> readInputs("000c 0003", "0063")).getMessage().contains("99"));
    }

    @Test
    void missingSettingIsNamedInTheError() {
        String message = assertThrows(InvalidInputException.class,
                () -> DeliverySettingsReader.read(1, "balancers=2")).getMessage();
        assertTrue(message.contains("classes.count"), message);
    }

    @Test
    void aFrameCutShortEndsWithOneMessage() throws IOException {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        int status = new SimulatorAdapter().serve(new ByteArrayInputStream(parseHex("00000010 4020")),
                new ByteArrayOutputStream(), new PrintStream(log, true, StandardCharsets.UTF_8));
        assertEquals(2, status);
        assertEquals(1, log.toString(StandardCharsets.UTF_8).lines().count());
    }

    @Test
    void unknownInstanceOfAnEventIsNamedInTheError() {
        ByteBuffer frame = ByteBuffer.allocate(16 + 96).putInt(112).putDouble(8.0).putInt(2)
                .put(parseHex(padHex("000c 0005", 48))).put(parseHex(padHex("0007 00000001", 48)));
        assertTrue(assertThrows(InvalidInputException.class,
                () -> new SimulatorAdapter().processFrame(frame.array())).getMessage().contains("instance 5"));
    }
}
