package org.knapweedcleat.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.ServiceId;

class RoutingConfigTest {

  private static final KeyDigest KEY = KeyDigest.ofKey("secret");

  private final RoutingConfig config =
      RoutingConfig.of(
          new RoutingContent(
              7,
              List.of(
                  route("short", "/notes/", new ServiceShare(ServiceId.of("a"), 1)),
                  route("long", "/notes/late/", new ServiceShare(ServiceId.of("b"), 1))),
              List.of(),
              true,
              List.of(
                  new AccountQuota(
                      AccountId.of("families"),
                      Set.of(KEY),
                      AccountQuota.ROUTE_PRIORITY,
                      10,
                      20,
                      1,
                      Set.of())),
              RequestLimits.INITIAL));

  @Test
  void longestPrefixWins() {
    assertThat(name("/notes/late/1"), is(Optional.of("long")));
    assertThat(name("/notes/early"), is(Optional.of("short")));
  }

  @Test
  void prefixMatchesWholePathSegments() {
    assertThat(name("/notes"), is(Optional.empty()));
    assertThat(name("/notesomething/"), is(Optional.empty()));
    assertThat(config.findRoute("other.example", "/notes/1").isPresent(), is(false));
  }

  @Test
  void findsAccountByKey() {
    assertThat(
        config.findAccount(KEY).map(AccountQuota::account),
        is(Optional.of(AccountId.of("families"))));
    assertThat(config.findAccount(KeyDigest.ofKey("other")), is(Optional.empty()));
  }

  @Test
  void servicesAreSelectedByWeight() {
    ForwardRoute route =
        route(
            "split",
            "/x/",
            new ServiceShare(ServiceId.of("a"), 90),
            new ServiceShare(ServiceId.of("b"), 10));

    assertThat(route.selectService(0.0), is(ServiceId.of("a")));
    assertThat(route.selectService(0.89), is(ServiceId.of("a")));
    assertThat(route.selectService(0.91), is(ServiceId.of("b")));
  }

  @Test
  void onlyResumableStreamsAndSafeCallsAreRepeatable() {
    assertThat(CallKind.SAFE.isRepeatable(false), is(true));
    assertThat(CallKind.UNSAFE.isRepeatable(true), is(false));
    assertThat(CallKind.STREAM.isRepeatable(false), is(false));
    assertThat(CallKind.STREAM.isRepeatable(true), is(true));
  }

  private Optional<String> name(String path) {
    return config.findRoute("host.example", path).map(ForwardRoute::name);
  }

  private static ForwardRoute route(String name, String prefix, ServiceShare... shares) {
    return new ForwardRoute(
        name,
        "host.example",
        prefix,
        CallKind.SAFE,
        false,
        false,
        1_000,
        100,
        0,
        2,
        1,
        List.of(shares),
        Set.of());
  }
}
