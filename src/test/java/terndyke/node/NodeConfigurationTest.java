package terndyke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import terndyke.api.DeliverySettings;
import terndyke.api.DeliverySettings.ListedRateAccuracy;
import terndyke.api.ServiceGrade.RepeatSemantics;

/** Reading the configuration file: what is taken from it, and how errors in it are reported. */
class NodeConfigurationTest {
    static final String SETTINGS = """
            {"balancers":2,"rank":1,"zone":0,"dcs":["east","west"],"kinds":["a","b"],"discovery":"push",
             "weightSource":"rough","resolution":0.005,"overShareWorth":0.1,
             "familyInfo":{"callsOut":12,"kindApart":[false,true],"perCall":[1,20],"late":"even"},
             "ceilings":{"maxOpen":40,"maxAttempts":8,"secondCopies":true,"cancelling":true,"probes":true,
               "retryAfter":true,"maxRetryAfter":2.0,"connectTimeout":0.5,"connIdle":15.0},
             "report":{"how":"off","fields":[]},
             "obligations":{"stopSendingWithin":2.0,"fallMultiple":2.0,"overloadFor":2.0,"coldShare":0.2,
               "cold":11.0,"keyQuiet":0.1,"answerSlack":0.02},
             "tenants":[{"name":"acme","quotaPerS":34.0,"share":1.0}],
             "classes":[
               {"name":"status","target":1.5,"deadline":5.0,"semantics":"retryable","points":3.0,"lateShare":0.0},
               {"name":"order","target":2.5,"deadline":24.0,"semantics":"dedup","group":"zone","memorySpan":6.0,
                "serialByKey":true,"points":1.0,"lateShare":0.3},
               {"name":"payment","target":2.5,"deadline":24.0,"semantics":"fragile","points":1.0}]}""";

    static NodeConfiguration read(String json) throws IOException {
        return NodeConfiguration.read(json.getBytes(StandardCharsets.UTF_8),
                new NodeConfiguration.StartupOptions("file", null, null, null, "state"));
    }

    static String configurationJson(String settings) {
        return "{\"name\":\"n3\",\"listen\":\"127.0.0.1:8443\",\"discovery\":\"127.0.0.1:8500\",\"seed\":"
                + "\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\"known\":"
                + "{\"rev\":4,\"all\":true,\"targets\":[{\"uid\":\"s-1\"}]},\"settings\":" + settings + "}";
    }

    @Test
    void aConfigurationIsReadCompletely() throws IOException {
        NodeConfiguration configuration = read(configurationJson(SETTINGS));
        assertEquals(List.of("status", "order", "payment"), configuration.gradeNames());
        assertEquals(List.of("acme"), configuration.tenantNames());
        assertEquals(List.of("east", "west"), configuration.zoneNames());
        assertEquals(0x8c1f30d27a5be964L, configuration.deliverySettings().seed());
        assertEquals(RepeatSemantics.DEDUPLICATED, configuration.deliverySettings().grades().get(1).repeatSemantics());
        assertEquals(List.of(false, true), configuration.deliverySettings().independentRoutesByKind());
        assertEquals(List.of(1, 1), configuration.deliverySettings().maxRecordsPerCallByKind(), "a call carries one record");
        assertEquals("s-1", configuration.knownEndpoints().get("targets.0.uid"));
        assertEquals(500_000, configuration.limits().connectTimeoutMicros());
        assertTrue(configuration.limits().idleConnectionTimeoutMicros() < 15_000_000);
    }

    @Test
    void anUnreadableConfigurationIsReportedByAMessage() {
        for (String json : List.of("", "[]", "{", "{}", "{} {}", configurationJson("{}"),
                configurationJson(SETTINGS.replace("2.0", "\"x\"")),
                configurationJson(SETTINGS).replace("8c1f30d27a5be964", "no seed"),
                configurationJson(SETTINGS).replace("127.0.0.1:8443", "some.host:8443"),
                configurationJson(SETTINGS).replace(":8500", ""))) {
            IOException exception = assertThrows(IOException.class, () -> read(json), json);
            assertTrue(exception.getMessage() != null && !exception.getMessage().isBlank());
        }
    }

    @Test
    void pricesAndListSettingsComeFromTheConfiguration() throws IOException {
        String settings = SETTINGS.replace("\"weightSource\":\"rough\"", "\"weightSource\":\"nominal\"")
                .replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"")
                .replace("\"late\":\"even\"", "\"late\":\"by_half\",\"zoneFee\":[0.01,0.04]")
                .replace("\"tenants\":", "\"costs\":{\"crossZone\":0.03,\"handshake\":0.06},\"tenants\":");
        DeliverySettings deliverySettings = read(configurationJson(settings)).deliverySettings();
        assertEquals(ListedRateAccuracy.EXACT, deliverySettings.listedRateAccuracy());
        assertTrue(deliverySettings.listOnRequest() && deliverySettings.exponentialPayoffDecay());
        assertEquals(List.of(0.01, 0.04), deliverySettings.hallFees());
        assertEquals(0.03, deliverySettings.zoneCrossingPrice());
        assertEquals(0.06, deliverySettings.newConnectionPrice());
    }

    @Test
    void withoutPricesACallCostsNothingAndTheListIsRoughAndPushed() throws IOException {
        DeliverySettings deliverySettings = read(configurationJson(SETTINGS)).deliverySettings();
        assertEquals(ListedRateAccuracy.ROUGH, deliverySettings.listedRateAccuracy());
        assertFalse(deliverySettings.listOnRequest());
        assertEquals(0,
                deliverySettings.hallFee(0) + deliverySettings.zoneCrossingPrice() + deliverySettings.newConnectionPrice());
    }

    /** Guards against a mistyped setting that silently becomes a default; the message lists the allowed values. */
    @Test
    void anInvalidSettingIsReportedWithItsNameItsValueAndWhatIsAllowed() {
        Map<String, List<String>> expectedParts = Map.of(
                SETTINGS.replace("\"rough\"", "\"nomnal\""), List.of("weightSource", "nomnal", "off, rough, nominal"),
                SETTINGS.replace("\"push\"", "\"pull\""), List.of("discovery", "pull", "push, ask"),
                SETTINGS.replace("\"late\":", "\"zoneFee\":[0.01,-4],\"late\":"), List.of("familyInfo.zoneFee", "-4", "0 to 1"),
                SETTINGS.replace("\"tenants\":", "\"costs\":{\"handshake\":6},\"tenants\":"),
                List.of("costs.handshake", "6", "0 to 1"));
        expectedParts.forEach((settings, parts) -> {
            String message = assertThrows(IOException.class, () -> read(configurationJson(settings)), settings).getMessage();
            parts.forEach(part -> assertTrue(message.contains(part), message));
            assertFalse(message.contains("\n"));
        });
    }

    /** Guards against a SIGHUP that reads the list of a large fleet, twice over, for the address of discovery alone. */
    @Test
    void aConfigurationIsReadAgainWithoutItsKnownEndpoints(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), configurationJson(SETTINGS));
        NodeConfiguration.StartupOptions options = new NodeConfiguration.StartupOptions(file.toString(), null, null, null, "state");
        NodeConfiguration reloaded = NodeConfiguration.readWithoutKnownEndpoints(options);
        assertEquals(Map.of(), reloaded.knownEndpoints());
        assertEquals(NodeConfiguration.read(options).withoutKnownEndpoints(), reloaded);
    }

    @Test
    void listsAndObjectsAreFlattenedAsTheWireDoes() throws IOException {
        Map<String, String> flat = FlatJson.read("{\"a\":{\"b\":[1,2],\"c\":[{\"d\":true}],\"e\":[],\"f\":null}}"
                .getBytes(StandardCharsets.UTF_8));
        assertEquals(Map.of("a.b", "1,2", "a.c.0.d", "true", "a.c.count", "1", "a.e", "", "a.e.count", "0"), flat);
    }

    @Test
    void limitsStayWithinWhatTheMachineGrants() {
        for (int sockets : new int[] {128, 256, 1024, 4096}) {
            for (int slots : new int[] {1, 33, 400}) {
                Limits limits = Limits.fromResources(192, sockets, 3, slots, 468, 1_500_000, 15_000_000);
                assertTrue(limits.maxClientConnections() + limits.maxExcessClientConnections() + limits.maxEndpointConnections()
                        < sockets);
                assertTrue(limits.maxJournalBytes() <= 3_000_000);
                assertTrue(limits.maxHeldBytes() <= 192_000_000 / 4);
            }
        }
    }
}
