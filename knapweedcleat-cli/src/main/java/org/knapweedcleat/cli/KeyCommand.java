package org.knapweedcleat.cli;

import io.vertx.core.json.JsonObject;
import java.security.SecureRandom;
import java.util.Base64;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.config.ValueRules;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Generates an API key and prints it together with its document section. */
final class KeyCommand extends Command {

  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "kc_";

  @Argument(required = true, metaVar = "NAME", usage = "the key's name, which is not secret")
  private String name;

  @Option(
      name = "--account",
      required = true,
      metaVar = "A",
      usage = "the client account that the key authenticates")
  private String account;

  @Option(
      name = "--team",
      metaVar = "T",
      usage = "the team that owns the section; default operators")
  private String team = "operators";

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    requireName(name);
    requireName(account);
    requireName(team);
    String key = generateKey(new SecureRandom());
    String digest = KeyDigest.ofKey(key).hex();
    if (json) {
      console.json(
          new JsonObject()
              .put("key", key)
              .put("name", name)
              .put("account", account)
              .put("team", team)
              .put("digest", digest));
      return ExitCode.OK;
    }
    console.line("The key for the caller, which is shown only once and not stored:\n");
    console.line("    " + key + "\n");
    console.line("The section for the document; check and publish it to activate the key:\n");
    console.line("[key " + name + "]");
    console.line("team = " + team);
    console.line("account = " + account);
    console.line("digest = " + digest);
    return ExitCode.OK;
  }

  private static String generateKey(SecureRandom random) {
    byte[] bytes = new byte[KEY_BYTES];
    random.nextBytes(bytes);
    return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static void requireName(String text) throws CliException {
    if (ValueRules.name().parse(text).isEmpty()) {
      throw CliException.of(CliFault.NAME, "\"" + text + "\"");
    }
  }
}
