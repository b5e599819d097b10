package org.knapweedcleat.router.lifecycle;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.turbo.TurboFilter;
import ch.qos.logback.core.spi.FilterReply;
import org.slf4j.Marker;

/**
 * Ends the process when a library logs an {@link OutOfMemoryError}: Netty catches what tasks of an
 * event loop throw and only logs it.
 */
final class OutOfMemoryLogFilter extends TurboFilter {

  @Override
  public FilterReply decide(
      Marker marker,
      Logger logger,
      Level level,
      String format,
      Object[] parameters,
      Throwable failure) {
    OutOfMemoryExit.exitIfOutOfMemory(failure);
    return FilterReply.NEUTRAL;
  }
}
