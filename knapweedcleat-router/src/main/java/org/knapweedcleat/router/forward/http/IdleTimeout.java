package org.knapweedcleat.router.forward.http;

/**
 * Idle timeout of a connection under a limit that may change. A lowered limit counts from when it
 * was learned, since the caller may still rely on the one before; a raised limit applies at once.
 */
final class IdleTimeout {

  private long limitMillis;
  private long activeMillis = Long.MIN_VALUE;
  private long expiresAtMillis;

  private IdleTimeout(long limitMillis) {
    this.limitMillis = limitMillis;
  }

  static IdleTimeout of(long limitMillis) {
    return new IdleTimeout(limitMillis);
  }

  /**
   * Tells whether the connection has been idle for too long.
   *
   * @param currentLimitMillis the limit now in force
   * @param lastActiveMillis when the connection was last used
   * @param nowMillis the current time
   */
  boolean hasElapsed(long currentLimitMillis, long lastActiveMillis, long nowMillis) {
    if (lastActiveMillis != activeMillis) {
      activeMillis = lastActiveMillis;
      expiresAtMillis = activeMillis + limitMillis;
    }
    if (currentLimitMillis < limitMillis) {
      expiresAtMillis = Math.min(expiresAtMillis, nowMillis + currentLimitMillis);
    } else if (currentLimitMillis > limitMillis) {
      expiresAtMillis = Math.max(expiresAtMillis, activeMillis + currentLimitMillis);
    }
    limitMillis = currentLimitMillis;
    return nowMillis > expiresAtMillis;
  }
}
