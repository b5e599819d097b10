package org.knapweedcleat.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.config.DocumentPartAssembler;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Splits a document into parts and a manifest, with one file per published value. */
final class PartsCommand extends Command {

  @Argument(required = true, metaVar = "DOCUMENT", usage = "the document to split")
  private Path document;

  @Option(name = "--out", required = true, metaVar = "DIRECTORY", usage = "the output directory")
  private Path directory;

  @Option(name = "--name", metaVar = "N", usage = "the name of the document's value; default fleet")
  private String name = "fleet";

  @Option(
      name = "--part-bytes",
      metaVar = "B",
      usage = "the maximum size of a part in bytes; default 900000")
  private int partBytes = 900_000;

  @Override
  ExitCode run(Console console) throws CliException {
    DocumentReader.readDocument(document);
    List<String> parts = split(DocumentReader.readText(document), partBytes);
    StringBuilder manifest = new StringBuilder("manifest\n");
    for (String part : parts) {
      String digest = Sha256.hexOf(part);
      manifest.append("part ").append(digest).append('\n');
      write(console, DocumentPartAssembler.valueName(name, digest), part);
    }
    write(console, name, manifest.toString());
    console.line("publish the parts first and the manifest " + name + " last");
    return ExitCode.OK;
  }

  /** Splits between lines; a part exceeds the limit only if it is a single longer line. */
  static List<String> split(String text, int maxBytes) {
    List<String> parts = new ArrayList<>();
    StringBuilder part = new StringBuilder();
    int bytes = 0;
    for (String line : text.split("(?<=\n)")) {
      int lineBytes = line.getBytes(StandardCharsets.UTF_8).length;
      if (bytes > 0 && bytes + lineBytes > maxBytes) {
        parts.add(part.toString());
        part.setLength(0);
        bytes = 0;
      }
      part.append(line);
      bytes += lineBytes;
    }
    parts.add(part.toString());
    return parts;
  }

  private void write(Console console, String value, String text) throws CliException {
    Path file = directory.resolve(value);
    try {
      Files.createDirectories(directory);
      Files.writeString(file, text);
    } catch (IOException e) {
      throw CliException.of(CliFault.FILE, file.toString(), e);
    }
    console.line(file.toString());
  }
}
