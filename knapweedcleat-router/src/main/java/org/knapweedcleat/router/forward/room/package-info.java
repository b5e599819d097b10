/** Asks the instance that keeps the room of a region's engines where a stream may run. */
package org.knapweedcleat.router.forward.room;
