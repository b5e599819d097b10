package org.knapweedcleat.standins.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

/** Tests the engine stub that the other process tests rely on. */
@Tag("process")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineProcessTest {

  private static final String PROMPT = "a prompt";
  private static final int EVICT_MILLIS = 400;

  private final int prefillPort = FreePorts.find();
  private final int decodePort = FreePorts.find();
  private JavaProcess process;

  @BeforeAll
  void start(@TempDir Path folder) {
    String prefill = "id=p,host=127.0.0.1,port=%d,evictMillis=%d";
    String decode = "id=d,host=127.0.0.1,port=%d";
    List<String> arguments =
        List.of(
            "engine",
            "--checks-fencing",
            "--engine",
            prefill.formatted(prefillPort, EVICT_MILLIS),
            "--engine",
            decode.formatted(decodePort));
    process = JavaProcess.startJar(folder, "engines", "target/standins.jar", arguments);
    Await.until(
        "decode engine to answer",
        () -> HttpTestClient.get(decodePort, "/v1/load").status() == 200);
  }

  @AfterAll
  void stop() {
    process.kill();
  }

  @Test
  void resumedStreamHasSameTokens() {
    reserve("whole", 1, 10_000);
    importKv("whole", prefill("whole"));
    String complete = decode("whole", 0);
    reserve("resumed", 1, 10_000);
    importKv("resumed", prefill("resumed"));
    String resumed = decode("resumed", 4);

    assertThat(complete, containsString(resumed));
    assertThat(complete.split("event: token", -1).length, is(9));
    assertThat(resumed.split("event: token", -1).length, is(5));
    assertThat(requestsHoldingMemory(), is("[]"));
  }

  @Test
  void fullMemoryRejectsReservationsUntilCancelOrExpiry() {
    assertThat(reserve("big", 20, 60_000).status(), is(200));
    assertThat(reserve("small", 1, 60_000).status(), is(409));
    assertThat(cancel("big").getBoolean("released"), is(true));
    assertThat(cancel("big").getBoolean("released"), is(false));
    assertThat(reserve("forgotten", 20, 50).status(), is(200));
    Await.until("expiry of the reservation", () -> requestsHoldingMemory().equals("[]"));
  }

  @Test
  void unfetchedPrefillIsEvictedAndCounted() {
    reserve("late", 1, 60_000);
    String handle = prefill("late");
    Await.until("eviction", () -> counts(prefillPort).getLong("wastedPrefills") == 1);

    assertThat(importKv("late", handle).status(), is(410));
    assertThat(cancel("late").getBoolean("released"), is(true));
  }

  @Test
  void oldFencingNumberIsRejected() {
    assertThat(sendOrder(7).status(), is(200));
    assertThat(sendOrder(6).text(), containsString("OLD_FENCING_NUMBER"));
    assertThat(sendOrder(7).status(), is(200));
  }

  private HttpTestClient.Response reserve(String request, int pieces, long holdMillis) {
    JsonObject body = body(request).put("pieces", pieces).put("holdMillis", holdMillis);
    return post(decodePort, "reserve", body);
  }

  private String prefill(String request) {
    JsonObject body = body(request).put("prompt", PROMPT);
    return post(prefillPort, "prefill", body).json().getString("handle");
  }

  private HttpTestClient.Response importKv(String request, String handle) {
    JsonObject body = body(request).put("handle", handle).put("sourceHost", "127.0.0.1");
    return post(decodePort, "import", body.put("sourcePort", prefillPort));
  }

  private String decode(String request, int fromPosition) {
    JsonObject body = body(request).put("fromPosition", fromPosition).put("maxTokens", 8);
    return post(decodePort, "decode", body).text();
  }

  private JsonObject cancel(String request) {
    return post(decodePort, "cancel", body(request)).json();
  }

  private HttpTestClient.Response sendOrder(long fencingNumber) {
    JsonObject body = new JsonObject().put("kind", "LOAD_MODEL").put("subject", "horn-7b");
    return post(decodePort, "orders", body.put("fencingNumber", fencingNumber));
  }

  private String requestsHoldingMemory() {
    return counts(decodePort).getJsonArray("held").encode();
  }

  private static JsonObject counts(int port) {
    return HttpTestClient.get(port, "/standin/counts").json();
  }

  private static JsonObject body(String request) {
    return new JsonObject().put("request", request).put("attempt", 1);
  }

  private static HttpTestClient.Response post(int port, String stage, JsonObject body) {
    return HttpTestClient.send("POST", port, "/v1/" + stage, body.encode());
  }
}
