package org.knapweedcleat.standins;

import com.fasterxml.jackson.databind.DeserializationFeature;
import io.vertx.core.json.jackson.DatabindCodec;
import org.knapweedcleat.standins.engine.EngineCommand;
import org.knapweedcleat.standins.load.LoadCommand;
import org.knapweedcleat.standins.plain.PlainCommand;
import org.knapweedcleat.standins.platform.PlatformCommand;
import org.knapweedcleat.standins.weights.WeightsCommand;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Starts a stub of an external system, or the load generator. */
public final class StandinMain {

  private static final int FAILED_EXIT = 1;
  private static final int USAGE_EXIT = 2;

  @Argument(
      required = true,
      metaVar = "engine|plain|platform|weights|load",
      handler = SubCommandHandler.class)
  @SubCommands({
    @SubCommand(name = "engine", impl = EngineCommand.class),
    @SubCommand(name = "plain", impl = PlainCommand.class),
    @SubCommand(name = "platform", impl = PlatformCommand.class),
    @SubCommand(name = "weights", impl = WeightsCommand.class),
    @SubCommand(name = "load", impl = LoadCommand.class)
  })
  private Runnable command;

  private StandinMain() {}

  /**
   * Runs the program.
   *
   * @param args the subcommand and its options
   */
  public static void main(String[] args) {
    DatabindCodec.mapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    StandinMain main = new StandinMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      e.getParser().printUsage(System.err);
      System.exit(USAGE_EXIT);
    }
    main.run();
  }

  private void run() {
    try {
      command.run();
    } catch (Exception e) {
      System.err.println("could not start: " + e);
      System.exit(FAILED_EXIT);
    }
  }
}
