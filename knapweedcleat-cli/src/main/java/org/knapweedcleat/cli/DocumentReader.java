package org.knapweedcleat.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetDocumentParser;

/** Reads the files given on the command line. */
final class DocumentReader {

  private DocumentReader() {}

  static String readText(Path file) throws CliException {
    try {
      return Files.readString(file);
    } catch (CharacterCodingException e) {
      throw CliException.of(CliFault.NOT_TEXT, file.toString(), e);
    } catch (IOException e) {
      throw CliException.of(CliFault.FILE, file.toString(), e);
    }
  }

  /** Returns a valid document; the exception for an invalid one lists its faults. */
  static FleetDocument readDocument(Path file) throws CliException {
    return FleetDocumentParser.parse(file.toString(), readText(file))
        .toEither()
        .getOrElseThrow(faults -> CliException.faulty(file, faults));
  }
}
