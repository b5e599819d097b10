package org.knapweedcleat.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out takes answers
 * @param err takes what is wrong with the command itself
 */
record Console(PrintStream out, PrintStream err) {

  void line(String text) {
    out.println(text);
  }

  void json(JsonObject answer) {
    out.println(answer.encodePrettily());
  }

  void error(String text) {
    err.println("knapweedcleat: " + text);
  }
}
