package org.knapweedcleat.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.config.EndpointRole;

class PlainRunTest {

  private final CallerFixture fixture = CallerFixture.start();
  private ScriptedServer desk;

  @BeforeEach
  void startDesk() {
    desk =
        ScriptedServer.start(
            fixture.vertx,
            request -> ScriptedServer.Reply.json(201, new JsonObject().put("done", true)));
    fixture.endpoint("plain-1", EndpointRole.PLAIN, desk.port());
  }

  @AfterEach
  void close() {
    assertThat(fixture.monitor.kept().toString(), is("[]"));
    fixture.close();
  }

  @Test
  void passesTheCallOnWithoutTheKey() {
    HttpResponse<String> response = fixture.post("/book?slot=4", "{\"x\":1}", "Cookie", "a=b");

    assertThat(response.statusCode(), is(201));
    assertThat(response.body(), is("{\"done\":true}"));
    assertThat(response.headers().firstValue("X-Endpoint").orElse(""), is("plain-1"));
    String head = desk.received("/book").get(0).head();
    assertThat(head, head.contains(CallerFixture.KEY), is(false));
    assertThat(head, head.toLowerCase(java.util.Locale.ROOT).contains("cookie"), is(false));
    assertThat(head, head.startsWith("POST /book?slot=4 "), is(true));
  }
}
