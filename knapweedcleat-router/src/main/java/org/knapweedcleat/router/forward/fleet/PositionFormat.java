package org.knapweedcleat.router.forward.fleet;

import org.knapweedcleat.core.id.StorePosition;

/**
 * How positions are written in the response to a request. Older builds know of no eras and take any
 * number for a revision, by which they would order the store's own revisions.
 */
enum PositionFormat {
  /** Positions with their eras. */
  WITH_ERA {
    @Override
    StorePosition read(long number, StorePosition own) {
      return StorePosition.ofLong(number);
    }

    @Override
    long write(StorePosition position) {
      return position.toLong();
    }
  },
  /** Bare revisions, which are taken to be of the responder's era. */
  REVISION {
    @Override
    StorePosition read(long number, StorePosition own) {
      return number < 0 ? StorePosition.NONE : StorePosition.of(own.era(), number);
    }

    @Override
    long write(StorePosition position) {
      return position.revision();
    }
  };

  /** The position of an older build that has no endpoints yet. */
  private static final long OLDER_BUILD_NONE = -1;

  /**
   * Returns the format that a requester understands.
   *
   * @param request the request
   * @param own the responder's position
   * @return the format of older builds if the request has none that names an era
   */
  static PositionFormat of(DirectoryRequest request, StorePosition own) {
    StorePosition requested = StorePosition.ofLong(request.endpointsPosition());
    boolean lacksEra = request.endpointsPosition() >= 0 && own.hasEra() && !requested.hasEra();
    return lacksEra || request.endpointsPosition() == OLDER_BUILD_NONE ? REVISION : WITH_ERA;
  }

  /**
   * Reads the position of a request.
   *
   * @param number the position as a number
   * @param own the responder's position
   * @return the position
   */
  abstract StorePosition read(long number, StorePosition own);

  /**
   * Writes a position of the response.
   *
   * @param position the position
   * @return the number
   */
  abstract long write(StorePosition position);
}
