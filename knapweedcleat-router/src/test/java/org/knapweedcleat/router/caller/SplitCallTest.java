package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.EndpointRole;

class SplitCallTest {

  private final CallerFixture fixture = CallerFixture.start();
  private final ScriptedEngine decodeEngine = new ScriptedEngine();
  private ScriptedServer prefill;
  private ScriptedServer decode;

  @BeforeEach
  void startEngines() {
    prefill = ScriptedServer.start(fixture.vertx, new ScriptedEngine());
    decode = ScriptedServer.start(fixture.vertx, decodeEngine);
    fixture.endpoint("prefill-1", EndpointRole.PREFILL, prefill.port());
    fixture.endpoint("decode-1", EndpointRole.DECODE, decode.port());
  }

  @AfterEach
  void close() {
    assertThat(fixture.monitor.kept().toString(), is("[]"));
    fixture.close();
  }

  @Test
  void streamsTheAnswer() {
    HttpResponse<String> response = fixture.post("/notes", CallerFixture.prompt(3, true));

    assertThat(response.statusCode(), is(200));
    assertThat(response.body(), containsString("\"decode\":\"decode-1\""));
    assertThat(response.body(), containsString("data: {\"position\":2,\"text\":\"t2\"}"));
    assertThat(response.body(), containsString("event: end\ndata: {\"tokens\":3}"));
  }

  @Test
  void collectsTheAnswer() {
    HttpResponse<String> response = fixture.post("/notes", CallerFixture.prompt(3, false));

    assertThat(new JsonObject(response.body()).getString("text"), is("t0t1t2"));
  }
}
